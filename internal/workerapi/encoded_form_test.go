package workerapi

import (
	"testing"

	"cherrywall/internal/fake/encodedform"
)

// The encoded forms are part of the protocol or of stored data, so the names and the order of their fields must not
// change.
func TestEncodedForms(t *testing.T) {
	encodedform.Check(t, "testdata/encoded_forms.json",
		encodedform.Form{Name: "direct command", Value: CommandRequest{}},
		encodedform.Form{Name: "task", Value: TaskStatus{}},
		encodedform.Form{Name: "report", Value: Heartbeat{}},
		encodedform.Form{Name: "order", Value: Command{}},
		encodedform.Form{Name: "answer", Value: HeartbeatResponse{}},
		encodedform.Form{Name: "worker record", Value: Record{}},
	)
}
