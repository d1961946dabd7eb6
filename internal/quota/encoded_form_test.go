package quota

import (
	"testing"

	"cherrywall/internal/fake/encodedform"
)

// The encoded forms are part of stored data: the names and the order of their fields must not
// change.
func TestEncodedForms(t *testing.T) {
	encodedform.Check(t, "testdata/encoded_forms.json",
		encodedform.Form{Name: "allocation record", Value: Record{}},
		encodedform.Form{Name: "amount", Value: Amount{}},
	)
}
