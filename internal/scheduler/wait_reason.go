package scheduler

import (
	"fmt"

	"cherrywall/internal/clusterstate"
)

// waitKind is the kind of reason for which a job waits.
type waitKind int

const (
	waitUnknown waitKind = iota
	waitFaultyJob
	waitQuota
	waitNoZone
	waitNothingFits  // no task of an array fits
	waitGangCapacity // fewer tasks of a gang fit than it has
	waitGangZone     // the gang fits, but no single zone has capacity for all of it
)

// waitReason is the reason for which a job waits. Its text is built only on request, by describe,
// since cycles set the reasons of many jobs.
type waitReason struct {
	kind         waitKind
	fittingTasks int // number of tasks of the gang that fitted when the gang was last considered
}

// describe returns the reason in words, or an empty string if the reason is not known.
func (r waitReason) describe(job *clusterstate.Job) string {
	switch r.kind {
	case waitFaultyJob:
		return "the job failed on several machines on which other jobs work: it is paused, and then retried with few tasks at a time"
	case waitQuota:
		return "the team's limit"
	case waitNoZone:
		return "no zone of this controller"
	case waitNothingFits:
		return "0 tasks fit"
	case waitGangCapacity:
		return fmt.Sprintf("%d tasks fit, %d needed", r.fittingTasks, job.Record().Tasks)
	case waitGangZone:
		return fmt.Sprintf("%d tasks fit, but no zone holds %d", r.fittingTasks, job.Record().Tasks)
	}
	return ""
}

// WaitReason describes to operators why a job waits. It is empty if the reason is not known.
func (s *Scheduler) WaitReason(job *clusterstate.Job) string {
	reason := s.waitReasons[job.Ref()]
	if s.Faults.IsJobFaulty(job.Ref()) {
		reason = waitReason{kind: waitFaultyJob}
	}
	description := reason.describe(job)
	if avoided := s.avoidedMachines(job, job.Record().Allows); description != "" && len(avoided) > 0 {
		description += fmt.Sprintf("; machines left out because the job failed there a short time ago: %d", len(avoided))
	}
	return description
}
