package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/deadline"
	"cherrywall/internal/jobs"
)

// queueEntry is a waiting job with the values that determine its position in the queue.
type queueEntry struct {
	job          *clusterstate.Job
	isOverdue    bool
	priority     jobs.Priority
	isBackground bool
	teamCPU      float64 // CPUs that the team uses; 0 unless the job is background work
	startByMS    int64   // result of deadline.StartByMS (Unix ms)
}

// sortQueue orders waiting jobs: overdue ones first, then by priority, and within a priority by
// the time that deadline.StartByMS returns. The jobs are considered in this order; a later job may
// still start before an earlier one that does not fit.
func (s *Scheduler) sortQueue(queue []*clusterstate.Job, now time.Time) {
	entries := make([]queueEntry, len(queue))
	teamCPU := map[string]float64{}
	for i, job := range queue {
		entry := queueEntry{
			job:          job,
			isOverdue:    isOverdue(job, now),
			priority:     job.Priority(),
			isBackground: job.IsBackground(),
			startByMS:    deadline.StartByMS(s.deadlineJob(job), s.cfg.Cluster.Objectives, now),
		}
		if entry.isBackground {
			team := job.Record().Team
			if _, known := teamCPU[team]; !known {
				teamCPU[team] = s.teamUsage(team).CPU
			}
			entry.teamCPU = teamCPU[team]
		}
		entries[i] = entry
	}
	slices.SortFunc(entries, compareEntries)
	for i, entry := range entries {
		queue[i] = entry.job
	}
}

// compareEntries orders queue entries. Jobs that are equal in all other respects are ordered by
// reference.
func compareEntries(x, y queueEntry) int {
	if x.isOverdue != y.isOverdue {
		return compareTrueFirst(x.isOverdue)
	}
	if x.isOverdue && x.job.RunnableSinceMS() != y.job.RunnableSinceMS() {
		return cmp.Compare(x.job.RunnableSinceMS(), y.job.RunnableSinceMS())
	}
	if x.priority != y.priority {
		return cmp.Compare(y.priority, x.priority)
	}
	if x.isBackground != y.isBackground {
		return compareTrueFirst(y.isBackground)
	}
	if x.teamCPU != y.teamCPU {
		// The teams share the capacity that is left for background work, so that a team that
		// submits a great many jobs does not starve the others.
		return cmp.Compare(x.teamCPU, y.teamCPU)
	}
	if x.startByMS != y.startByMS {
		return cmp.Compare(x.startByMS, y.startByMS)
	}
	return strings.Compare(x.job.Ref(), y.job.Ref())
}

// compareTrueFirst compares x with a boolean of the other value, so that true comes first.
func compareTrueFirst(x bool) int {
	if x {
		return -1
	}
	return 1
}

// deadlineJob returns the properties of a job from which package deadline computes when the job
// should start.
func (s *Scheduler) deadlineJob(job *clusterstate.Job) deadline.Job {
	return deadline.Job{
		Record:            job.Record(),
		RunnableSinceMS:   job.RunnableSinceMS(),
		RunSeconds:        s.ExpectedRunSeconds(job.Record()),
		CompletionSeconds: job.DependencyNode().ExpectedRunSeconds(),
		Deadlines:         job.Deadlines(),
	}
}
