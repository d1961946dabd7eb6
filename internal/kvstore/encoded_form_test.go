package kvstore

import (
	"testing"

	"cherrywall/internal/fake/encodedform"
)

// Encoded forms are part of the protocol or of stored data: names and order of fields stay.
func TestEncodedForms(t *testing.T) {
	encodedform.Check(t, "testdata/encoded_forms.json",
		encodedform.Form{Name: "condition", Value: Condition{}},
		encodedform.Form{Name: "write", Value: Write{}},
		encodedform.Form{Name: "transaction", Value: Txn{}},
		encodedform.Form{Name: "row", Value: KeyValue{}},
		encodedform.Form{Name: "event", Value: Event{}},
	)
}
