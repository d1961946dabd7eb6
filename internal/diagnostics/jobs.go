package diagnostics

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// JobView is an unfinished job as operators see it.
type JobView struct {
	Job            string  `json:"job"`
	Class          string  `json:"class"`
	Team           string  `json:"team"`
	Priority       string  `json:"priority"`
	Tasks          int     `json:"tasks"`
	Done           int     `json:"done"`
	Running        int     `json:"running"`
	UnclaimedTasks int     `json:"unclaimed"`
	WaitSeconds    float64 `json:"waits_s"`
	WaitReason     string  `json:"why,omitempty"`
	// WaitsFor are the unfinished jobs that this one depends on.
	WaitsFor []string `json:"waits_for,omitempty"`
	// Dependents is the number of jobs that depend on this one.
	Dependents int `json:"behind,omitempty"`
	// EffectivePriority is the highest priority of the job and its dependents.
	EffectivePriority string `json:"effective"`
	// DueInSeconds is the time left until the job should be done for the sake of its own or its
	// dependents' deadlines; negative once that is over, nil without any deadline.
	DueInSeconds *float64 `json:"due_in_s"`
}

// jobs lists all unfinished jobs by reference.
func (r *Reporter) jobs(now time.Time) []JobView {
	views := []JobView{}
	for job := range r.deps.State.Jobs() {
		if !job.HasEnded() {
			views = append(views, r.jobView(job, now))
		}
	}
	slices.SortFunc(views, func(x, y JobView) int { return cmp.Compare(x.Job, y.Job) })
	return views
}

func (r *Reporter) jobView(job *clusterstate.Job, now time.Time) JobView {
	record := job.Record()
	node := job.DependencyNode()
	view := JobView{
		Job:               job.Ref(),
		Class:             record.Class,
		Team:              record.Team,
		Priority:          record.Urgency,
		Tasks:             record.Tasks,
		UnclaimedTasks:    record.UnclaimedCount(),
		WaitsFor:          node.OpenDependencies(),
		Dependents:        node.DependentCount(),
		EffectivePriority: jobs.PriorityName(job.Priority()),
	}
	view.Done, view.Running = job.Progress()
	if deadline := job.Deadlines().DueMS; deadline != jobdag.NoDeadline {
		seconds := float64(deadline-now.UnixMilli()) / 1000
		view.DueInSeconds = &seconds
	}
	r.describeWait(&view, job, now)
	return view
}

// describeWait fills in how long a job has waited, and for what. A job that does not wait keeps
// both fields empty.
func (r *Reporter) describeWait(view *JobView, job *clusterstate.Job, now time.Time) {
	switch {
	case job.IsCancelledByDependency():
		view.WaitReason = "a job that it needs is cancelled, and so is this one"
		return
	case job.IsBlocked():
		view.WaitReason = "for other jobs: " + abbreviate(view.WaitsFor)
	case view.UnclaimedTasks > 0 || r.deps.Faults.IsJobFaulty(job.Ref()):
		view.WaitReason = r.deps.Scheduler.WaitReason(job)
	default:
		view.WaitReason = r.waitReason(job)
		if view.WaitReason == "" {
			return
		}
	}
	view.WaitSeconds = job.Age(now).Seconds()
}

// abbreviate names the first few of many.
func abbreviate(names []string) string {
	if hidden := len(names) - tuning.MaxListedNames; hidden > 0 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:tuning.MaxListedNames], ", "), hidden)
	}
	return strings.Join(names, ", ")
}

// Reasons why a job waits. They are output of the administration API and keep their form.
const (
	reasonClaimedNoRoom = "its tasks are claimed, and there is no room for one of them here"
	// reasonNotScheduled is given if no scheduling cycle of this controller has said more.
	reasonNotScheduled = "others go first, or there is no room for a task of it"
)

// waitReason returns why an unfinished job that depends on no other unfinished job waits. It
// returns an empty text if a task of the job is known to have started, or if the tasks are
// claimed by other controllers, which know more.
func (r *Reporter) waitReason(job *clusterstate.Job) string {
	unknown, ready, isClaimed := 0, 0, false
	for taskRange := range job.TaskRanges() {
		if taskRange.DoneTasks() > 0 {
			return ""
		}
		if taskRange.CountTasks(clusterstate.TaskPlaced) > 0 {
			return startRefusal(job)
		}
		isClaimed = isClaimed || !taskRange.IsTentative()
		unknown += taskRange.CountTasks(clusterstate.TaskUnknown)
		ready += taskRange.CountTasks(clusterstate.TaskReady)
	}
	reason := r.deps.Scheduler.WaitReason(job)
	switch {
	case job.Record().Completed > 0:
		return ""
	case unknown > 0:
		return fmt.Sprintf("%d tasks may be on machines that can't be asked", unknown)
	case isClaimed && ready == 0:
		return ""
	case reason == "" && isClaimed:
		return reasonClaimedNoRoom
	case reason == "":
		return reasonNotScheduled
	}
	return reason
}

// startRefusal returns why the starts of a job's placed tasks are refused; empty if one was sent, or if
// none was refused yet.
func startRefusal(job *clusterstate.Job) string {
	refusal := ""
	for taskRange := range job.TaskRanges() {
		for i := range taskRange.Len() {
			assignment := taskRange.Assignment(i)
			if assignment == nil {
				continue
			}
			if !assignment.Status().IsPlanned() {
				return ""
			}
			if refusal == "" {
				refusal = assignment.LastRefusal()
			}
		}
	}
	return refusal
}
