package pipelineexec

import "cherrywall/internal/pipeline"

// Status is the status of a job of a run, encoded as the letter that is recorded.
type Status byte

// The statuses of jobs that have not ended.
const (
	Waiting  Status = 'w' // waits until the jobs that it depends on have ended
	Manual   Status = 'm' // waits for a user to start the job
	Delayed  Status = 'd' // waits until JobState.DelayedUntilMS
	Active   Status = 'a' // submitted to the controller, or to be submitted
	Stopping Status = 'x' // being cancelled for the reason in JobState.Cause
)

// The final statuses.
const (
	Succeeded Status = 's'
	Failed    Status = 'f'
	Cancelled Status = 'c'
	Skipped   Status = 'k'
)

// StatusName is a job's status as users see it, by its name in the GitLab format.
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

// Name returns the name of the status in the GitLab format, or "" for an unknown status.
func (s Status) Name() StatusName { return statusNames[s] }

// String returns the name of the status in the GitLab format, or "" for an unknown status.
func (s Status) String() string { return string(s.Name()) }

// IsFinal reports whether the job has ended: a final status never changes.
func (s Status) IsFinal() bool {
	return s == Succeeded || s == Failed || s == Cancelled || s == Skipped
}

// Causes of a cancellation or failure in addition to those of package pipeline.
const (
	CauseRunCancelled pipeline.FailureCause = "canceled"  // the run was cancelled
	CauseJobCancelled pipeline.FailureCause = "withdrawn" // a user cancelled the job itself
	CauseRejected     pipeline.FailureCause = "refused"   // the controller rejected the job
)

// CancelMode defines whether and how a run is cancelled. It is part of the run's record.
type CancelMode string

// The modes. After a run is cancelled in either mode, no further job starts.
const (
	NotCancelled CancelMode = ""
	CancelNow    CancelMode = "now"   // all jobs in progress are cancelled
	CancelDrain  CancelMode = "drain" // jobs in progress that are not interruptible may finish
)

// RunStatus is the status of a run, by its name in the GitLab format. It is part of the records of finished
// runs and of the views that users request.
type RunStatus string

// The statuses of a run. The last three are final.
const (
	RunRunning   RunStatus = "running"
	RunManual    RunStatus = "manual" // the run waits for a user to start a job
	RunStopping  RunStatus = "canceling"
	RunSucceeded RunStatus = "success"
	RunFailed    RunStatus = "failed"
	RunCancelled RunStatus = "canceled"
)
