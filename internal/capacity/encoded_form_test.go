package capacity

import (
	"testing"

	"cherrywall/internal/fake/encodedform"
)

// Encoded forms are part of the protocol or of stored data: the names and the order of their fields
// must not change.
func TestEncodedForms(t *testing.T) {
	encodedform.Check(t, "testdata/encoded_forms.json",
		encodedform.Form{Name: "vector", Value: Resources{}},
		encodedform.Form{Name: "buffer", Value: Buffer{}},
	)
}
