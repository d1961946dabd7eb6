package jobs

import (
	"testing"

	"cherrywall/internal/fake/encodedform"
)

// Encoded forms are part of the protocol or of stored data: names and order of fields stay.
func TestEncodedForms(t *testing.T) {
	encodedform.Check(t, "testdata/encoded_forms.json",
		encodedform.Form{Name: "submission", Value: Spec{}},
		encodedform.Form{Name: "class limit", Value: Limit{}},
		encodedform.Form{Name: "tasks", Value: Span{}},
		encodedform.Form{Name: "job record", Value: Record{}},
		encodedform.Form{Name: "claim in the job record", Value: Own{}},
		encodedform.Form{Name: "task range record", Value: Range{}},
		encodedform.Form{Name: "final state", Value: Final{}},
	)
}
