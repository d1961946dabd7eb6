package capacity

import (
	"testing"

	"cherrywall/internal/fake/encodedform"
)

// Encoded forms are part of the protocol or of stored data: names and order of fields stay.
func TestEncodedForms(t *testing.T) {
	encodedform.Check(t, "testdata/encoded_forms.json",
		encodedform.Form{Name: "vector", Value: Resources{}},
		encodedform.Form{Name: "buffer", Value: Buffer{}},
	)
}
