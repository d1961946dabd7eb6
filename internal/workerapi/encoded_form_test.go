package workerapi

import (
	"testing"

	"cherrywall/internal/fake/encodedform"
)

// Encoded forms are part of the protocol or of stored data: names and order of fields stay.
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
