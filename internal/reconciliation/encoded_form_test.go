package reconciliation

import (
	"testing"

	"cherrywall/internal/fake/encodedform"
)

// The encoded forms are part of the protocol or of stored data, so the names and the order of their fields
// must not change.
func TestEncodedForms(t *testing.T) {
	encodedform.Check(t, "testdata/encoded_forms.json",
		encodedform.Form{Name: "start view", Value: View{}, WriteOnly: true},
	)
}
