// Package flow is how a run of a pipeline file goes on: a function of its plan, of what is
// known of each job, and of what the core says. It does nothing itself.
package pipelineexec

import (
	"fmt"
	"slices"
	"strconv"

	"cherrywall/internal/jobs"
	"cherrywall/internal/pipeline"

	"github.com/cespare/xxhash/v2"
)

// Status is where a job of a run stands, as it is recorded.
type Status byte

// The statuses. What is after the line is the end.
const (
	Waiting  Status = 'w' // for other jobs, or for its submission
	Manual   Status = 'm' // for a person
	Delayed  Status = 'd' // for its time
	Active   Status = 'a' // submitted
	Stopping Status = 'x' // being withdrawn, see Track.Why
	// ---
	Succeeded Status = 's'
	Failed    Status = 'f'
	Cancelled Status = 'c'
	Skipped   Status = 'k'
)

var statusNames = map[Status]string{Waiting: "waiting", Manual: "manual", Delayed: "delayed", Active: "running", Stopping: "stopping",
	Succeeded: "success", Failed: "failed", Cancelled: "canceled", Skipped: "skipped"}

func (s Status) String() string { return statusNames[s] }

// IsFinal tells whether it is an end.
func (s Status) IsFinal() bool {
	return s == Succeeded || s == Failed || s == Cancelled || s == Skipped
}

// Causes of a stop or failure besides those of pipeline.
const (
	CauseRunCancelled pipeline.FailureCause = "canceled"  // the run was
	CauseJobCancelled pipeline.FailureCause = "withdrawn" // somebody withdrew the job itself
	CauseRejected     pipeline.FailureCause = "refused"   // the core does not take it
)

// How a run is cancelled: at once, or in order, letting jobs end that are not
// interruptible.
const (
	CancelNow   = "now"
	CancelDrain = "drain"
)

// JobState is what is known of a job of a run.
type JobState struct {
	Status          Status
	Attempt         int                   // from 0
	Salt            int                   // ids that somebody else had taken
	DelayedUntilMS  int64                 // Unix ms: of Delayed, its time
	Cause           pipeline.FailureCause // of Stopping and Failed
	ManuallyStarted bool
}

// Progress is Tracks as recorded: a letter for each job, the rest only where it is not
// what it mostly is.
type Progress struct {
	Status          string                        `json:"st"`
	Attempts        map[int]int                   `json:"try,omitempty"`
	Salts           map[int]int                   `json:"salt,omitempty"`
	DelayedUntilMS  map[int]int64                 `json:"at,omitempty"`
	Causes          map[int]pipeline.FailureCause `json:"why,omitempty"`
	ManuallyStarted []int                         `json:"played,omitempty"`
}

// EncodeProgress is tracks as they are recorded.
func EncodeProgress(jobStates []JobState) Progress {
	p := Progress{Attempts: map[int]int{}, Salts: map[int]int{}, DelayedUntilMS: map[int]int64{}, Causes: map[int]pipeline.FailureCause{}}
	letters := make([]byte, len(jobStates))
	for i, jobState := range jobStates {
		letters[i] = byte(jobState.Status)
		if jobState.Attempt > 0 {
			p.Attempts[i] = jobState.Attempt
		}
		if jobState.Salt > 0 {
			p.Salts[i] = jobState.Salt
		}
		if jobState.DelayedUntilMS > 0 {
			p.DelayedUntilMS[i] = jobState.DelayedUntilMS
		}
		if jobState.Cause != "" {
			p.Causes[i] = jobState.Cause
		}
		if jobState.ManuallyStarted {
			p.ManuallyStarted = append(p.ManuallyStarted, i)
		}
	}
	p.Status = string(letters)
	return p
}

// JobStates reads them again; there must be n.
func (p Progress) JobStates(n int) ([]JobState, error) {
	if len(p.Status) != n {
		return nil, fmt.Errorf("states of %d jobs, not %d", len(p.Status), n)
	}
	jobStates := make([]JobState, n)
	for i := range jobStates {
		jobStates[i] = JobState{Status: Status(p.Status[i]), Attempt: p.Attempts[i], Salt: p.Salts[i], DelayedUntilMS: p.DelayedUntilMS[i], Cause: p.Causes[i],
			ManuallyStarted: slices.Contains(p.ManuallyStarted, i)}
		if statusNames[jobStates[i].Status] == "" {
			return nil, fmt.Errorf("unknown state %q of job %d", p.Status[i], i)
		}
	}
	return jobStates, nil
}

// JobRef is the id of a job's try: the same for all that ever lead the run, so that a step
// made twice submits once. The prefix and form are the protocol's.
func JobRef(run string, job int, jobState JobState) string {
	return jobs.NumberedRef("pl", xxhash.Sum64String(run+"/"+strconv.Itoa(job)+"/"+strconv.Itoa(jobState.Attempt)+"/"+strconv.Itoa(jobState.Salt)))
}

// Observation is what the core says of a try.
type Observation struct {
	IsUnknown    bool  // the core was asked and does not know it
	IsUnfinished bool  // it is known and not over
	IsDone       bool  // it is over, and well
	IsCancelled  bool  // it is over by a withdrawal
	AcceptedAtMS int64 // Unix ms of its acceptance
	IsFaulty     bool  // it fails on several machines where others work
	DoneTasks    int
	RunningTasks int
}

// Action is something to be done in the world, once what it rests on is recorded.
type Action struct {
	Job           int
	Submit        bool // else withdraw
	RequiresGroup bool // submit only with the job's group held
}

// Execution is a run in memory.
type Execution struct {
	Plan       *pipeline.Plan
	JobStates  []JobState
	CancelMode string // "", CancelNow or CancelDrain
}

// NewJobStates makes the tracks of a run that begins.
func NewJobStates(n int) []JobState {
	jobStates := make([]JobState, n)
	for i := range jobStates {
		jobStates[i].Status = Waiting
	}
	return jobStates
}

// Step brings a run as far as it goes by what is seen, and tells what is to be done.
// It is deterministic: whoever takes the run over with the same record and the same
// answers of the core comes to the same.
func (f *Execution) Step(nowMS int64, observe func(job int) Observation) []Action {
	var actions []Action
	for {
		actions = actions[:0]
		before := slices.Clone(f.JobStates)
		for i := range f.JobStates {
			actions = f.stepJob(i, nowMS, observe, actions)
		}
		if slices.Equal(before, f.JobStates) {
			return actions
		}
	}
}

func (f *Execution) stepJob(i int, nowMS int64, observe func(job int) Observation, actions []Action) []Action {
	jobState, j := &f.JobStates[i], &f.Plan.Jobs[i]
	switch jobState.Status {
	case Active:
		observation := observe(i)
		switch {
		case observation.IsDone:
			jobState.Status, jobState.Cause = Succeeded, ""
		case observation.IsCancelled:
			jobState.Status, jobState.Cause = Failed, CauseJobCancelled
		case f.CancelMode == CancelNow || f.CancelMode == CancelDrain && j.Interruptible:
			jobState.Status, jobState.Cause = Stopping, CauseRunCancelled
		case observation.IsUnfinished && observation.IsFaulty:
			jobState.Status, jobState.Cause = Stopping, pipeline.CauseScriptFailure
		case observation.IsUnfinished && j.TimeoutS > 0 && float64(nowMS-observation.AcceptedAtMS) > j.TimeoutS*1000:
			jobState.Status, jobState.Cause = Stopping, pipeline.CauseTimeout
		case observation.IsUnknown && !observation.IsUnfinished:
			actions = append(actions, Action{Job: i, Submit: true, RequiresGroup: j.Group != ""})
		}
	case Stopping:
		observation := observe(i)
		switch {
		case observation.IsDone: // at the same moment
			jobState.Status, jobState.Cause = Succeeded, ""
		case observation.IsCancelled: // or never submitted: a withdrawal tells that
			switch {
			case jobState.Cause == CauseRunCancelled || f.CancelMode != "":
				jobState.Status, jobState.Cause = Cancelled, CauseRunCancelled
			case jobState.Attempt < j.Retries && slices.Contains(j.RetryOn, jobState.Cause):
				*jobState = JobState{Status: Active, Attempt: jobState.Attempt + 1, ManuallyStarted: jobState.ManuallyStarted}
			default:
				jobState.Status = Failed
			}
		default:
			actions = append(actions, Action{Job: i})
		}
	case Waiting, Manual, Delayed:
		if f.CancelMode != "" {
			jobState.Status, jobState.Cause = Cancelled, CauseRunCancelled
			break
		}
		f.stepWaiting(jobState, j, nowMS)
	}
	return actions
}

// stepWaiting lets a job start if what it waits for is there.
func (f *Execution) stepWaiting(jobState *JobState, job *pipeline.Job, nowMS int64) {
	switch jobState.Status {
	case Manual:
		if jobState.ManuallyStarted {
			jobState.Status = Active
		}
		return
	case Delayed:
		if nowMS >= jobState.DelayedUntilMS {
			jobState.Status = Active
		}
		return
	}
	open, failed, left := false, false, false
	look := func(k int) {
		o, d := f.JobStates[k], &f.Plan.Jobs[k]
		switch {
		case o.Status == Manual && d.AllowFailure: // nobody has to wait for it
			left = left || !job.Staged
		case !o.Status.IsFinal():
			open = true
		case o.Status == Failed || o.Status == Cancelled:
			failed = failed || !d.AllowFailure
		case o.Status == Skipped:
			left = left || !job.Staged // needed by name and not there
		}
	}
	if job.Staged {
		for k := range f.Plan.Jobs {
			if f.Plan.Jobs[k].Stage < job.Stage {
				look(k)
			}
		}
	} else {
		for _, k := range job.Needs {
			look(k)
		}
	}
	switch {
	case open:
	case job.When == pipeline.Always:
		jobState.Status = Active
	case job.When == pipeline.OnFailure:
		if jobState.Status = Skipped; failed {
			jobState.Status = Active
		}
	case failed || left:
		jobState.Status = Skipped
	case job.When == pipeline.Manual:
		jobState.Status = Manual
	case job.When == pipeline.Delayed:
		jobState.Status, jobState.DelayedUntilMS = Delayed, nowMS+int64(job.StartInS*1000)
	default:
		jobState.Status = Active
	}
}

// The ends of a run, and what it may be before; the words are the published format's.
const (
	RunRunning   = "running"
	RunManual    = "manual" // it waits for a person
	RunStopping  = "canceling"
	RunSucceeded = "success"
	RunFailed    = "failed"
	RunCancelled = "canceled"
)

// Status is the run's; over is whether it is an end. Jobs that nobody has to play are
// skipped by it.
func (f *Execution) Status() (status string, over bool) {
	count := map[Status]int{}
	failed := false
	for i, jobState := range f.JobStates {
		if jobState.Status == Manual && f.Plan.Jobs[i].AllowFailure {
			continue
		}
		count[jobState.Status]++
		failed = failed || jobState.Status == Failed && !f.Plan.Jobs[i].AllowFailure
	}
	open := count[Waiting] + count[Delayed] + count[Active] + count[Stopping]
	switch {
	case f.CancelMode != "" && open+count[Manual] > 0:
		return RunStopping, false
	case open > 0 && count[Delayed]+count[Active]+count[Stopping] == 0 && count[Manual] > 0:
		return RunManual, false
	case open > 0:
		return RunRunning, false
	case count[Manual] > 0:
		return RunManual, false
	case count[Cancelled] > 0:
		return RunCancelled, true
	case failed:
		return RunFailed, true
	}
	return RunSucceeded, true
}

// SkipOptional ends what nobody has played when the run is over.
func (f *Execution) SkipOptional() {
	for i := range f.JobStates {
		if f.JobStates[i].Status == Manual {
			f.JobStates[i].Status = Skipped
		}
	}
}
