package diagnostics

import (
	"testing"

	"cherrywall/internal/claims"
	"cherrywall/internal/fake/encodedform"
)

// The encoded forms are part of the protocol or of stored data, so the names and the order of their
// fields must not change.
func TestEncodedForms(t *testing.T) {
	encodedform.Check(t, "testdata/encoded_forms.json",
		encodedform.Form{Name: "finding", Value: Finding{}},
		encodedform.Form{Name: "trouble", Value: Problem{}, WriteOnly: true},
		encodedform.Form{Name: "shard view", Value: shardView{}, WriteOnly: true},
		encodedform.Form{Name: "worker view", Value: workerView{}, WriteOnly: true},
		encodedform.Form{Name: "task view", Value: taskView{}, WriteOnly: true},
		encodedform.Form{Name: "job view", Value: JobView{}, WriteOnly: true},
		encodedform.Form{Name: "upgrade view", Value: upgradeView{}, WriteOnly: true},
		encodedform.Form{Name: "version view", Value: versionView{}, WriteOnly: true},
		encodedform.Form{Name: "fleet view", Value: fleetView{}, WriteOnly: true},
		encodedform.Form{Name: "quota view", Value: claims.QuotaUsage{}, WriteOnly: true},
		encodedform.Form{Name: "member view", Value: memberView{}, WriteOnly: true},
	)
}
