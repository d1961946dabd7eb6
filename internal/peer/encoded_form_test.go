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

// Controllers of different versions exchange frames, so a frame that an earlier version wrote must
// still be readable and be encoded to the same bytes.
func TestFrameEncodingIsUnchanged(t *testing.T) {
	heartbeat := encodedform.Fill(Heartbeat{}).(Heartbeat)
	checkFrame(t, "testdata/encoded_frame_observed.hex", heartbeat)
	// Earlier versions did not have these fields.
	heartbeat.MadeAtMicros, heartbeat.Observed, heartbeat.CancellationsKnownAfter = 0, nil, 0
	checkFrame(t, "testdata/encoded_frame.hex", heartbeat)
}

// checkFrame checks that a heartbeat is encoded as the frame in a golden file, and that this frame is
// decoded to the heartbeat.
func checkFrame(t *testing.T, goldenFile string, heartbeat Heartbeat) {
	t.Helper()
	frame := Encode(heartbeat)
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
	decoded, err := ReadFrame(bytes.NewReader(golden))
	if err != nil {
		t.Fatal(err)
	}
	if reencoded := Encode(decoded); !bytes.Equal(reencoded, golden) {
		t.Errorf("decoded and encoded again, the frame is\n%x\nwant\n%x", reencoded, golden)
	}
	if !reflect.DeepEqual(decoded, heartbeat) {
		t.Errorf("decoded %+v, want %+v", decoded, heartbeat)
	}
}
