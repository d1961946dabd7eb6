package quota

import (
	"testing"

	"cherrywall/internal/fake/encodedform"
)

// The encoded forms are part of stored data: names and order of fields must not change.
func TestEncodedForms(t *testing.T) {
	encodedform.Check(t, "testdata/encoded_forms.json",
		encodedform.Form{Name: "allocation record", Value: Record{}},
		encodedform.Form{Name: "amount", Value: Amount{}},
	)
}
