package pipelineexec

import (
	"fmt"
	"slices"
	"strconv"

	"cherrywall/internal/jobs"
	"cherrywall/internal/pipeline"

	"github.com/cespare/xxhash/v2"
)

// JobState is the state of a job of a run.
type JobState struct {
	Status          Status
	Attempt         int                   // number of the current attempt, from 0
	Salt            int                   // how many previous ids of the attempt were already taken by jobs of other users; JobRef uses it to make a new id
	DelayedUntilMS  int64                 // Unix ms; 0 if the current attempt was never Delayed
	Cause           pipeline.FailureCause // why the job is being cancelled, was cancelled or failed
	ManuallyStarted bool
}

// NewJobStates returns the states of the jobs of a new run; count is the number of jobs.
func NewJobStates(count int) []JobState {
	states := make([]JobState, count)
	for i := range states {
		states[i].Status = Waiting
	}
	return states
}

// Progress is the recorded form of job states. Its field Status contains the letter of each job's status. The
// maps contain the values that differ from zero, by the index of the job in the plan. ManuallyStarted lists the
// indexes of the jobs that a user has started.
type Progress struct {
	Status          string                        `json:"st"`
	Attempts        map[int]int                   `json:"try,omitempty"`
	Salts           map[int]int                   `json:"salt,omitempty"`
	DelayedUntilMS  map[int]int64                 `json:"at,omitempty"`
	Causes          map[int]pipeline.FailureCause `json:"why,omitempty"`
	ManuallyStarted []int                         `json:"played,omitempty"`
}

// EncodeProgress returns the recorded form of job states.
func EncodeProgress(states []JobState) Progress {
	progress := Progress{
		Attempts:       map[int]int{},
		Salts:          map[int]int{},
		DelayedUntilMS: map[int]int64{},
		Causes:         map[int]pipeline.FailureCause{},
	}
	letters := make([]byte, len(states))
	for job, state := range states {
		letters[job] = byte(state.Status)
		if state.Attempt > 0 {
			progress.Attempts[job] = state.Attempt
		}
		if state.Salt > 0 {
			progress.Salts[job] = state.Salt
		}
		if state.DelayedUntilMS > 0 {
			progress.DelayedUntilMS[job] = state.DelayedUntilMS
		}
		if state.Cause != "" {
			progress.Causes[job] = state.Cause
		}
		if state.ManuallyStarted {
			progress.ManuallyStarted = append(progress.ManuallyStarted, job)
		}
	}
	progress.Status = string(letters)
	return progress
}

// JobStates returns the job states that were recorded. It returns an error if their number is not count, or if
// this version does not know one of the status letters.
func (p Progress) JobStates(count int) ([]JobState, error) {
	if len(p.Status) != count {
		return nil, fmt.Errorf("record contains the states of %d jobs, but the plan has %d", len(p.Status), count)
	}
	states := make([]JobState, count)
	for job := range states {
		status := Status(p.Status[job])
		if statusNames[status] == "" {
			return nil, fmt.Errorf("unknown status letter %q of job %d", p.Status[job], job)
		}
		states[job] = JobState{
			Status:          status,
			Attempt:         p.Attempts[job],
			Salt:            p.Salts[job],
			DelayedUntilMS:  p.DelayedUntilMS[job],
			Cause:           p.Causes[job],
			ManuallyStarted: slices.Contains(p.ManuallyStarted, job),
		}
	}
	return states, nil
}

// JobRef returns the id under which the current attempt of a job is submitted. The id depends only on the
// arguments. Successive leaders of the run therefore submit the attempt under the same id, so that a repeated
// step does not run the job twice. The protocol prescribes the prefix and the form of the id.
func JobRef(runID string, job int, state JobState) string {
	attempt := runID + "/" + strconv.Itoa(job) + "/" + strconv.Itoa(state.Attempt) + "/" + strconv.Itoa(state.Salt)
	return jobs.NumberedRef("pl", xxhash.Sum64String(attempt))
}
