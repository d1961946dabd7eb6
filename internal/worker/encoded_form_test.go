package worker

import (
	"testing"

	"cherrywall/internal/fake/encodedform"
)

// Encoded forms are part of the protocol or of stored data: names and order of fields stay.
func TestEncodedForms(t *testing.T) {
	encodedform.Check(t, "testdata/encoded_forms.json",
		encodedform.Form{Name: "direct command", Value: Command{}},
		encodedform.Form{Name: "task", Value: Entry{}},
		encodedform.Form{Name: "report", Value: Report{}},
		encodedform.Form{Name: "order", Value: Order{}},
		encodedform.Form{Name: "answer", Value: Answer{}},
		encodedform.Form{Name: "worker record", Value: Record{}},
	)
}
