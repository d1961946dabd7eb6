package kvstore

import (
	"testing"

	"cherrywall/internal/fake/encodedform"
)

// The encoded forms are part of the store's protocol, so the names and the order of their fields must
// not change.
func TestEncodedForms(t *testing.T) {
	encodedform.Check(t, "testdata/encoded_forms.json",
		encodedform.Form{Name: "condition", Value: Condition{}},
		encodedform.Form{Name: "write", Value: Write{}},
		encodedform.Form{Name: "transaction", Value: Txn{}},
		encodedform.Form{Name: "row", Value: KeyValue{}},
		encodedform.Form{Name: "event", Value: Event{}},
	)
}
