package peer

import (
	"bytes"
	"encoding/hex"
	"os"
	"reflect"
	"strings"
	"testing"

	"cherrywall/internal/fake/encodedform"
)

// Controllers of different versions exchange frames: a frame that an earlier version wrote is read,
// and written in the same bytes.
func TestEncodedFrame(t *testing.T) {
	const goldenFile = "testdata/encoded_frame.hex"
	beat := encodedform.Fill(Heartbeat{}).(Heartbeat)
	frame := Encode(beat)
	text, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	golden, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(frame, golden) {
		t.Errorf("frame is\n%x\nwant\n%x", frame, golden)
	}
	read, err := ReadFrame(bytes.NewReader(golden))
	if err != nil {
		t.Fatal(err)
	}
	if again := Encode(read); !bytes.Equal(again, golden) {
		t.Errorf("read and written again it is\n%x\nwant\n%x", again, golden)
	}
	if !reflect.DeepEqual(read, beat) {
		t.Errorf("read %+v, want %+v", read, beat)
	}
}
