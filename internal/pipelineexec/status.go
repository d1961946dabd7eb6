package pipelineexec

import "cherrywall/internal/pipeline"

// Status is the status of a job of a run, as it is recorded.
type Status byte

// The statuses of jobs that have not ended.
const (
	Waiting  Status = 'w' // for other jobs, or for its submission
	Manual   Status = 'm' // for a user
	Delayed  Status = 'd' // for its time
	Active   Status = 'a' // submitted
	Stopping Status = 'x' // being cancelled, see JobState.Cause
)

// The final statuses.
const (
	Succeeded Status = 's'
	Failed    Status = 'f'
	Cancelled Status = 'c'
	Skipped   Status = 'k'
)

// statusNames are the names of the published format, which users see.
var statusNames = map[Status]string{
	Waiting:   "waiting",
	Manual:    "manual",
	Delayed:   "delayed",
	Active:    "running",
	Stopping:  "stopping",
	Succeeded: "success",
	Failed:    "failed",
	Cancelled: "canceled",
	Skipped:   "skipped",
}

// String returns the status's name of the published format.
func (s Status) String() string { return statusNames[s] }

// IsFinal reports whether the job has ended.
func (s Status) IsFinal() bool {
	return s == Succeeded || s == Failed || s == Cancelled || s == Skipped
}

// Causes of a cancellation or failure besides those of package pipeline.
const (
	CauseRunCancelled pipeline.FailureCause = "canceled"  // the run was cancelled
	CauseJobCancelled pipeline.FailureCause = "withdrawn" // a user cancelled the job itself
	CauseRejected     pipeline.FailureCause = "refused"   // the controller does not accept the job
)

// How a run is cancelled: at once, or letting the jobs finish that are not interruptible.
const (
	CancelNow   = "now"
	CancelDrain = "drain"
)

// The statuses of a run, by their names of the published format.
const (
	RunRunning   = "running"
	RunManual    = "manual" // it waits for a user
	RunStopping  = "canceling"
	RunSucceeded = "success"
	RunFailed    = "failed"
	RunCancelled = "canceled"
)
