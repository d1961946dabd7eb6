package pipelinerun

import (
	"testing"

	"cherrywall/internal/fake/encodedform"
)

// Encoded forms are part of the protocol or of stored data, so the names and the order of the
// fields must not change.
func TestEncodedForms(t *testing.T) {
	encodedform.Check(t, "testdata/encoded_forms.json",
		encodedform.Form{Name: "run record", Value: runRecord{}},
		encodedform.Form{Name: "resource group record", Value: groupOwner{}},
		encodedform.Form{Name: "schedule record", Value: scheduleRecord{}},
		encodedform.Form{Name: "schedule view", Value: ScheduleView{}},
		encodedform.Form{Name: "run view", Value: RunView{}},
		encodedform.Form{Name: "run job view", Value: JobView{}},
	)
}
