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
	// DueInSeconds is the time left until the job should be done to meet its own deadline and
	// those of its dependents. It is negative after that time, and nil if there is no deadline.
	DueInSeconds *float64 `json:"due_in_s"`
}

// jobs lists all unfinished jobs, sorted by reference.
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

// describeWait sets WaitSeconds and WaitReason of a job that waits. For a job that does not wait,
// both fields keep their zero values. For a job that is cancelled because of a dependency, it sets
// only WaitReason.
func (r *Reporter) describeWait(view *JobView, job *clusterstate.Job, now time.Time) {
	switch {
	case job.IsCancelledByDependency():
		view.WaitReason = "cancelled, because a job that it depends on is cancelled"
		return
	case job.IsBlocked():
		view.WaitReason = "waiting for other jobs: " + joinFirstNames(view.WaitsFor)
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

// joinFirstNames joins the first tuning.MaxListedNames names and states how many more there are.
func joinFirstNames(names []string) string {
	if omittedCount := len(names) - tuning.MaxListedNames; omittedCount > 0 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:tuning.MaxListedNames], ", "), omittedCount)
	}
	return strings.Join(names, ", ")
}

// Reasons why a job waits, as operators read them in the administration API.
const (
	reasonClaimedNoCapacity = "its tasks are claimed, but this controller has no capacity for any of them"
	// reasonNotScheduled is used if the scheduler of this controller has given no reason.
	reasonNotScheduled = "other jobs go first, or there is no capacity for one of its tasks"
)

// waitReason returns why a job waits. The job must be unfinished and must not depend on another
// unfinished job. The reason is empty if a task of the job is known to have started, or if the
// tasks are claimed by other controllers, which know the reason.
func (r *Reporter) waitReason(job *clusterstate.Job) string {
	unknownTaskCount, readyTaskCount, isClaimed := 0, 0, false
	for taskRange := range job.TaskRanges() {
		if taskRange.DoneTaskCount() > 0 {
			return ""
		}
		if taskRange.CountTasks(clusterstate.TaskPlaced) > 0 {
			return startRefusalReason(job)
		}
		isClaimed = isClaimed || !taskRange.IsTentative()
		unknownTaskCount += taskRange.CountTasks(clusterstate.TaskUnknown)
		readyTaskCount += taskRange.CountTasks(clusterstate.TaskReady)
	}
	reason := r.deps.Scheduler.WaitReason(job)
	switch {
	case job.Record().CompletedTasks > 0:
		return ""
	case unknownTaskCount > 0:
		return fmt.Sprintf("%d tasks may be on machines that cannot be reached", unknownTaskCount)
	case isClaimed && readyTaskCount == 0:
		return ""
	case reason == "" && isClaimed:
		return reasonClaimedNoCapacity
	case reason == "":
		return reasonNotScheduled
	}
	return reason
}

// startRefusalReason returns why the starts of a job's placed tasks are refused. It returns an empty
// string if a start was sent or a worker reports a task, or if no start was refused yet.
func startRefusalReason(job *clusterstate.Job) string {
	reason := ""
	for taskRange := range job.TaskRanges() {
		for i := range taskRange.Len() {
			assignment := taskRange.Assignment(i)
			if assignment == nil {
				continue
			}
			if !assignment.Status().IsPlanned() {
				return ""
			}
			if reason == "" {
				reason = assignment.LastRefusal()
			}
		}
	}
	return reason
}
