package pipelinerun

import "cherrywall/internal/pipelineexec"

// RunView is a run as users see it. Times are Unix ms.
type RunView struct {
	ID           string                 `json:"id"`
	Name         string                 `json:"name"`
	Status       pipelineexec.RunStatus `json:"status"`
	IsFinished   bool                   `json:"over"`
	AcceptedAtMS int64                  `json:"accepted_ms"`
	EndedAtMS    int64                  `json:"ended_ms,omitempty"`
	HomeShard    string                 `json:"share,omitempty"`
	Stages       []string               `json:"stages,omitempty"`
	Jobs         []JobView              `json:"jobs,omitempty"`
	// The numbers of jobs that are waiting, that are in progress, and that have ended.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	Ended   int `json:"ended"`
}

// JobView is a job of a run as users see it.
type JobView struct {
	Name         string                  `json:"name"`
	Stage        string                  `json:"stage"`
	Status       pipelineexec.StatusName `json:"status"`
	Reason       string                  `json:"why,omitempty"`
	Attempt      int                     `json:"try"`
	Retries      int                     `json:"retries,omitempty"`
	Ref          string                  `json:"ref,omitempty"` // the id under which the current attempt is submitted
	DoneTasks    int                     `json:"tasks_done"`
	RunningTasks int                     `json:"tasks_running"`
	Tasks        int                     `json:"tasks"`
	Needs        []string                `json:"needs,omitempty"`
	Group        string                  `json:"group,omitempty"`
}

// ScheduleView is a schedule as users see it.
type ScheduleView struct {
	Name     string `json:"name"`
	Cron     string `json:"cron"`
	Zone     string `json:"zone"`
	NextAtMS int64  `json:"next_ms"` // Unix ms
	LastRun  string `json:"last_run,omitempty"`
	Jobs     int    `json:"jobs,omitempty"`
}

func (s scheduleRecord) view() ScheduleView {
	return ScheduleView{Name: s.Name, Cron: s.Cron, Zone: s.Zone, NextAtMS: s.NextAtMS, LastRun: s.LastRun}
}

// observeFunc returns what is known about a job's current attempt. job is the job's index in the
// plan.
type observeFunc func(job int) pipelineexec.Observation

// newRunView returns the view of a run. execution is nil if the plan was not read. observe is nil
// if nothing is known about the current attempts of the run's jobs.
func newRunView(id string, record runRecord, execution *pipelineexec.Execution, observe observeFunc) *RunView {
	view := &RunView{
		ID:           id,
		Name:         record.Name,
		AcceptedAtMS: record.AcceptedAtMS,
		EndedAtMS:    record.EndedAtMS,
		Status:       record.Status,
		IsFinished:   record.Status != "",
	}
	if execution == nil {
		return view
	}
	if view.Status == "" {
		view.Status, _ = execution.Status()
	}
	if execution.CancelMode != pipelineexec.NotCancelled && view.Status == pipelineexec.RunRunning {
		view.Status = pipelineexec.RunStopping
	}
	view.Stages = execution.Plan.Stages[1 : len(execution.Plan.Stages)-1] // without .pre and .post
	for job, state := range execution.JobStates {
		view.countJob(state.Status)
		view.Jobs = append(view.Jobs, newJobView(id, execution, job, observe))
	}
	return view
}

// countJob counts a job as waiting, running or ended.
func (v *RunView) countJob(status pipelineexec.Status) {
	switch status {
	case pipelineexec.Active, pipelineexec.Stopping:
		v.Running++
	case pipelineexec.Waiting, pipelineexec.Manual, pipelineexec.Delayed:
		v.Waiting++
	default:
		v.Ended++
	}
}

func newJobView(runID string, execution *pipelineexec.Execution, index int, observe observeFunc) JobView {
	plan, state := execution.Plan, execution.JobStates[index]
	job := &plan.Jobs[index]
	view := JobView{
		Name:    job.Name,
		Stage:   plan.Stages[job.Stage],
		Status:  state.Status.Name(),
		Reason:  string(state.Cause),
		Attempt: state.Attempt,
		Retries: job.Retries,
		Tasks:   job.Spec.Tasks,
		Group:   job.ResourceGroup,
	}
	for _, needed := range job.Needs {
		view.Needs = append(view.Needs, plan.Jobs[needed].Name)
	}
	switch state.Status {
	case pipelineexec.Active, pipelineexec.Stopping, pipelineexec.Succeeded, pipelineexec.Failed:
		view.Ref = pipelineexec.JobRef(runID, index, state)
	}
	switch {
	case state.Status == pipelineexec.Succeeded:
		view.DoneTasks = view.Tasks
	case observe != nil && view.Ref != "":
		observation := observe(index)
		view.DoneTasks, view.RunningTasks = observation.DoneTaskCount, observation.RunningTaskCount
	}
	return view
}
