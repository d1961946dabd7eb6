package jobs

import (
	"encoding/json"
	"testing"
)

// In early versions, the record of a final state held only the status, and a completion batch held
// only the references of its jobs.
func TestDecodeFinalStatesOfEarlyVersions(t *testing.T) {
	for raw, want := range map[string]FinalState{`"done"`: {Done, 0}, `{"s":"aborted","n":7}`: {Cancelled, 7}} {
		var decoded FinalState
		if err := json.Unmarshal([]byte(raw), &decoded); err != nil || decoded != want {
			t.Errorf("%s: %+v, %v", raw, decoded, err)
		}
		encoded, err := json.Marshal(decoded)
		var redecoded FinalState
		if err != nil || json.Unmarshal(encoded, &redecoded) != nil || redecoded != decoded {
			t.Errorf("%s decoded and encoded: %s, %v", raw, encoded, err)
		}
	}
	if err := new(FinalState).UnmarshalJSON([]byte(`[]`)); err == nil {
		t.Error("a list was decoded as a final state")
	}
	for entry, want := range map[string]int{"wk-1": 0, FormatBatchEntry("wk-1", 3): 3} {
		if ref, tasks := ParseBatchEntry(entry); ref != "wk-1" || tasks != want {
			t.Errorf("%s: %s with %d tasks", entry, ref, tasks)
		}
	}
}
