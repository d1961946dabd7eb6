package peer

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
	"time"

	"cherrywall/internal/tuning"
)

var sample = Beat{Node: "n1", Boot: 7, Silent: 1500 * time.Millisecond, Synced: true,
	Shares: []Share{{"n0", "n1", 42}}, Counts: []Count{{7, 0, 26, "a", 3, 5}}, Requests: 12.5, Changes: 0.25,
	Leaving: true, Wants: []string{"n1"}, Piece: &Piece{Share: "n0", Stamp: 42, Index: 1, Of: 3, Machines: []Standing{
		{Host: "i-1", Session: 2, Report: 9, Over: 1, Gone: true, Empty: true},
		{Host: "i-2", Session: 1, Report: 4, Recalled: true, Drained: true, Unheard: true, Tasks: []Task{
			{Name: "wk-1/0", Attempt: 7 << 40, Status: "running", Sent: true, Seen: true, Ran: 1500 * time.Millisecond},
			{Name: "wk-1/1", Attempt: 8, Sent: true, Stop: true, Halted: true, Leeway: 2.5, Alien: true}}}}}}

func TestABeatSurvivesTheWire(t *testing.T) {
	got, err := ReadFrame(bytes.NewReader(Encode(sample)))
	if err != nil || !reflect.DeepEqual(got, sample) {
		t.Errorf("%+v, %v", got, err)
	}
}

// A piece of the largest size, with the longest names, fits a frame beside a full beat.
func TestAFullPieceFitsAFrame(t *testing.T) {
	b := sample
	b.Piece = &Piece{Share: "a-controller-of-a-long-name", Of: 1, Machines: []Standing{{Host: "i-000000001"}}}
	m := &b.Piece.Machines[0]
	for i := range tuning.PieceTasks - 1 {
		m.Tasks = append(m.Tasks, Task{Name: fmt.Sprintf("abcdefghijklmnop-%018d/%d", i, 99_999), Attempt: 1 << 60, Status: "running",
			Sent: true, Seen: true, Leeway: 3, Ran: time.Minute})
	}
	for range tuning.MaxBeatShapes * 8 { // in eight zones
		b.Counts = append(b.Counts, Count{7, 0, 26, "a-zone-of-a-long-name", 3, 5})
	}
	for i := range tuning.MaxBeatBlamed {
		b.Blamed = append(b.Blamed, fmt.Sprintf("abcdefghijklmnop-%018d", i))
	}
	if n := len(Encode(b)); n > tuning.MaxFrame {
		t.Errorf("%d bytes", n)
	}
	for range 400 {
		b.Piece.Machines = append(b.Piece.Machines, Standing{Host: "i-000000001"})
	}
	m.Tasks = nil
	if n := len(Encode(b)); n > tuning.MaxFrame {
		t.Errorf("%d bytes with machines alone", n)
	}
}

func TestBrokenFramesAreErrors(t *testing.T) {
	whole := Encode(sample)
	for n := range len(whole) {
		if _, err := ReadFrame(bytes.NewReader(whole[:n])); err == nil {
			t.Errorf("a frame cut to %d bytes was read", n)
		}
	}
	if _, err := ReadFrame(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1})); err == nil {
		t.Error("a frame of 4 GB was read")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(sample)[4:])
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8, 9})
	f.Fuzz(func(t *testing.T, body []byte) {
		if b, err := Decode(body); err == nil && b.Node == "" {
			t.Error("a beat from nobody was read")
		}
	})
}
