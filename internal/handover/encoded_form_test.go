package handover

import (
	"testing"

	"cherrywall/internal/fake/encodedform"
)

// Encoded forms are part of the protocol or of stored data, so the names and the order of their
// fields must not change.
func TestEncodedForms(t *testing.T) {
	encodedform.Check(t, "testdata/encoded_forms.json",
		encodedform.Form{Name: "past transfer", Value: Transfer{}, WriteOnly: true},
	)
}
