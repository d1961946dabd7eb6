package peer

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
	"time"

	"cherrywall/internal/tuning"
)

var sampleChunk = &TransferChunk{Shard: "n0", Epoch: 42, Index: 1, Total: 3, Machines: []MachineSnapshot{
	{Host: "i-1", AgentEpoch: 2, HeartbeatSeq: 9, EndedAgentEpoch: 1, Lost: true, Empty: true},
	{Host: "i-2", AgentEpoch: 1, HeartbeatSeq: 4, Preempted: true, Drained: true, AwaitingHeartbeat: true, Tasks: []TaskSnapshot{
		{Name: "wk-1/0", Attempt: 7 << 40, Status: "running", StartSent: true, Reported: true, RunningFor: 1500 * time.Millisecond},
		{Name: "wk-1/1", Attempt: 8, StartSent: true, StopRequested: true, StopSent: true, GraceSeconds: 2.5, Foreign: true},
	}},
}}

var sampleHeartbeat = Heartbeat{
	Node:              "n1",
	Incarnation:       7,
	StoreSilentFor:    1500 * time.Millisecond,
	Synced:            true,
	Shards:            []Shard{{"n0", "n1", 42}},
	Capacities:        []ShapeCapacity{{7, 0, 26, "a", 3, 5}},
	RequestsPerSecond: 12.5,
	WritesPerSecond:   0.25,
	Leaving:           true,
	RequestedShards:   []string{"n1"},
	TransferChunk:     sampleChunk,
}

func TestFrameRoundTrip(t *testing.T) {
	got, err := ReadFrame(bytes.NewReader(Encode(sampleHeartbeat)))
	if err != nil || !reflect.DeepEqual(got, sampleHeartbeat) {
		t.Errorf("%+v, %v", got, err)
	}
}

// A frame has room for a chunk of the largest size, with the longest names, in a full heartbeat.
func TestFullChunkFitsFrame(t *testing.T) {
	heartbeat := sampleHeartbeat
	heartbeat.TransferChunk = &TransferChunk{Shard: "a-controller-of-a-long-name", Total: 1, Machines: []MachineSnapshot{{Host: "i-000000001"}}}
	machine := &heartbeat.TransferChunk.Machines[0]
	for i := range tuning.MaxTransferChunkTasks - 1 {
		machine.Tasks = append(machine.Tasks, TaskSnapshot{Name: fmt.Sprintf("abcdefghijklmnop-%018d/%d", i, 99_999), Attempt: 1 << 60, Status: "running",
			StartSent: true, Reported: true, GraceSeconds: 3, RunningFor: time.Minute})
	}
	for range tuning.MaxPeerHeartbeatShapes * 8 { // every shape in eight zones
		heartbeat.Capacities = append(heartbeat.Capacities, ShapeCapacity{7, 0, 26, "a-zone-of-a-long-name", 3, 5})
	}
	for i := range tuning.MaxPeerHeartbeatFaultyJobs {
		heartbeat.FaultyJobs = append(heartbeat.FaultyJobs, fmt.Sprintf("abcdefghijklmnop-%018d", i))
	}
	if size := len(Encode(heartbeat)); size > tuning.MaxPeerFrameBytes {
		t.Errorf("the frame has %d bytes", size)
	}
	for range 400 {
		heartbeat.TransferChunk.Machines = append(heartbeat.TransferChunk.Machines, MachineSnapshot{Host: "i-000000001"})
	}
	machine.Tasks = nil
	if size := len(Encode(heartbeat)); size > tuning.MaxPeerFrameBytes {
		t.Errorf("the frame has %d bytes with machines alone", size)
	}
}

func TestTruncatedAndOversizedFramesAreRejected(t *testing.T) {
	frame := Encode(sampleHeartbeat)
	for size := range len(frame) {
		if _, err := ReadFrame(bytes.NewReader(frame[:size])); err == nil {
			t.Errorf("a frame cut to %d bytes was read", size)
		}
	}
	if _, err := ReadFrame(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1})); err == nil {
		t.Error("a frame of 4 GB was read")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(sampleHeartbeat)[4:])
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8, 9})
	f.Fuzz(func(t *testing.T, body []byte) {
		if heartbeat, err := Decode(body); err == nil && heartbeat.Node == "" {
			t.Error("a heartbeat without a sender was read")
		}
	})
}
