package jobs

import (
	"testing"

	"cherrywall/internal/fake/encodedform"
)

// The encoded forms are part of the protocol or of stored data, so the names and the order of their
// fields must not change.
func TestEncodedForms(t *testing.T) {
	encodedform.Check(t, "testdata/encoded_forms.json",
		encodedform.Form{Name: "submission", Value: Spec{}},
		encodedform.Form{Name: "class limit", Value: ClassLimits{}},
		encodedform.Form{Name: "tasks", Value: TaskInterval{}},
		encodedform.Form{Name: "job record", Value: JobRecord{}},
		encodedform.Form{Name: "claim in the job record", Value: WholeJobClaim{}},
		encodedform.Form{Name: "task range record", Value: RangeRecord{}},
		encodedform.Form{Name: "final state", Value: FinalState{}},
	)
}
