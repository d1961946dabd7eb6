package jobs

import (
	"encoding/json"
	"fmt"
)

// Status is the state of a job, as users see it.
type Status string

// The states of a job, by their names in the protocol.
const (
	// Queued is the state of a job without started tasks.
	Queued Status = "queued"
	// Running is the state of a job with started tasks.
	Running Status = "running"
	// Done is the final state of a job of which all tasks are done.
	Done Status = "done"
	// Cancelled is the final state of a cancelled job.
	Cancelled Status = "aborted"
)

// FinalState is how a job ended.
type FinalState struct {
	Status Status // Done or Cancelled
	Tasks  int    // the number of tasks done; 0 in records of early versions, which lack it
}

type finalStateJSON struct {
	Status string `json:"s"`
	Tasks  int    `json:"n"`
}

// MarshalJSON encodes the record.
func (f FinalState) MarshalJSON() ([]byte, error) {
	return json.Marshal(finalStateJSON{string(f.Status), f.Tasks})
}

// UnmarshalJSON decodes the record, also in the form of early versions: the status alone.
func (f *FinalState) UnmarshalJSON(raw []byte) error {
	if json.Unmarshal(raw, &f.Status) == nil {
		return nil
	}
	var decoded finalStateJSON
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return fmt.Errorf("final state: %w", err)
	}
	*f = FinalState{Status(decoded.Status), decoded.Tasks}
	return nil
}

// BatchEntry returns the entry of a job that is done in a completion batch.
func BatchEntry(ref string, tasks int) string { return TaskName(ref, tasks) }

// ParseBatchEntry decodes an entry of a completion batch, also in the form of early versions: the
// reference alone, for which tasks is 0.
func ParseBatchEntry(entry string) (ref string, tasks int) {
	if ref, tasks, ok := ParseTask(entry); ok {
		return ref, tasks
	}
	return entry, 0
}
