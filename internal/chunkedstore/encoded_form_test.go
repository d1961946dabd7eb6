package chunkedstore

import (
	"testing"

	"cherrywall/internal/fake/encodedform"
)

// The encoded forms are part of stored data, so the names and the order of their fields must not
// change.
func TestEncodedForms(t *testing.T) {
	encodedform.Check(t, "testdata/encoded_forms.json",
		encodedform.Form{Name: "chunk reference", Value: chunkRef{}},
		encodedform.Form{Name: "pointer record", Value: chunkPointer{}},
	)
}
