package jobs

import (
	"encoding/json"
	"fmt"
)

// Status is the state of a job as the protocol shows it to users.
type Status string

// The states of a job. The values are the protocol's names.
const (
	// Queued means that none of the job's tasks has started.
	Queued Status = "queued"
	// Running means that at least one of the job's tasks has started.
	Running Status = "running"
	// Done is the final state of a job whose tasks are all done.
	Done Status = "done"
	// Cancelled is the final state of a cancelled job.
	Cancelled Status = "aborted"
)

// FinalState is the durable record of how a job ended.
type FinalState struct {
	Status Status // Done or Cancelled
	Tasks  int    // number of tasks that are done; 0 in records of early versions, which lack the number
}

type finalStateJSON struct {
	Status string `json:"s"`
	Tasks  int    `json:"n"`
}

// MarshalJSON encodes the final state as it is stored.
func (f FinalState) MarshalJSON() ([]byte, error) {
	return json.Marshal(finalStateJSON{string(f.Status), f.Tasks})
}

// UnmarshalJSON decodes a stored final state. Early versions stored only the status, as a string; for
// such a state, the number of tasks is 0.
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

// FormatBatchEntry returns the entry by which a completion batch lists a job as done.
func FormatBatchEntry(ref string, tasks int) string { return TaskName(ref, tasks) }

// ParseBatchEntry decodes an entry of a completion batch. Early versions wrote only the job's
// reference; for such an entry, tasks is 0.
func ParseBatchEntry(entry string) (ref string, tasks int) {
	if ref, tasks, ok := ParseTaskName(entry); ok {
		return ref, tasks
	}
	return entry, 0
}
