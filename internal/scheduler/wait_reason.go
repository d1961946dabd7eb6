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
	waitNothingFits  // of an array
	waitGangCapacity // fewer tasks of a gang fit than it has
	waitGangZone     // the gang fits, but no single zone has capacity for all of it
)

// waitReason is why a job waits. Its text is made only when it is asked for, see describe: cycles
// set reasons for many jobs.
type waitReason struct {
	kind         waitKind
	fittingTasks int // of a gang, when it was last considered
}

// describe returns the reason in words, empty if it is not known.
func (r waitReason) describe(job *clusterstate.Job) string {
	switch r.kind {
	case waitFaultyJob:
		return "it failed on several machines where other jobs work: it pauses, and is tried in small"
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

// WaitReason describes why a job waits, for operators; empty if that is not known.
func (s *Scheduler) WaitReason(job *clusterstate.Job) string {
	reason := s.waitReasons[job.Ref()]
	if s.Faults.IsJobFaulty(job.Ref()) {
		reason = waitReason{kind: waitFaultyJob}
	}
	return reason.describe(job)
}
