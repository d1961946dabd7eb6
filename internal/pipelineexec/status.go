package pipelineexec

import "cherrywall/internal/pipeline"

// Status is the status of a job of a run, by the letter with which it is recorded.
type Status byte

// The statuses of jobs that have not ended.
const (
	Waiting  Status = 'w' // until the jobs that it depends on have ended
	Manual   Status = 'm' // until a user starts it
	Delayed  Status = 'd' // until JobState.DelayedUntilMS
	Active   Status = 'a' // submitted to the controller, or to be submitted
	Stopping Status = 'x' // being cancelled, see JobState.Cause
)

// The final statuses.
const (
	Succeeded Status = 's'
	Failed    Status = 'f'
	Cancelled Status = 'c'
	Skipped   Status = 'k'
)

// StatusName is a job's status as users see it: its name in the published format.
type StatusName string

// The names of the statuses of jobs.
const (
	NameWaiting   StatusName = "waiting"
	NameManual    StatusName = "manual"
	NameDelayed   StatusName = "delayed"
	NameActive    StatusName = "running"
	NameStopping  StatusName = "stopping"
	NameSucceeded StatusName = "success"
	NameFailed    StatusName = "failed"
	NameCancelled StatusName = "canceled"
	NameSkipped   StatusName = "skipped"
)

var statusNames = map[Status]StatusName{
	Waiting:   NameWaiting,
	Manual:    NameManual,
	Delayed:   NameDelayed,
	Active:    NameActive,
	Stopping:  NameStopping,
	Succeeded: NameSucceeded,
	Failed:    NameFailed,
	Cancelled: NameCancelled,
	Skipped:   NameSkipped,
}

// Name returns the status's name in the published format, empty for an unknown status.
func (s Status) Name() StatusName { return statusNames[s] }

// String returns the status's name in the published format, empty for an unknown status.
func (s Status) String() string { return string(s.Name()) }

// IsFinal reports whether the job has ended: a final status never changes.
func (s Status) IsFinal() bool {
	return s == Succeeded || s == Failed || s == Cancelled || s == Skipped
}

// Causes of a cancellation or failure besides those of package pipeline.
const (
	CauseRunCancelled pipeline.FailureCause = "canceled"  // the run was cancelled
	CauseJobCancelled pipeline.FailureCause = "withdrawn" // a user cancelled the job itself
	CauseRejected     pipeline.FailureCause = "refused"   // the controller does not accept the job
)

// CancelMode is whether and how a run is cancelled. The run's record contains it.
type CancelMode string

// The modes. Once a run is cancelled, in either mode, no further job starts.
const (
	NotCancelled CancelMode = ""
	CancelNow    CancelMode = "now"   // all jobs in progress are cancelled
	CancelDrain  CancelMode = "drain" // jobs in progress that are not interruptible may finish
)

// RunStatus is the status of a run, by its name in the published format. Records of finished runs
// and the views of users contain it.
type RunStatus string

// The statuses of a run. The last three are final.
const (
	RunRunning   RunStatus = "running"
	RunManual    RunStatus = "manual" // it waits for a user to start a job
	RunStopping  RunStatus = "canceling"
	RunSucceeded RunStatus = "success"
	RunFailed    RunStatus = "failed"
	RunCancelled RunStatus = "canceled"
)
