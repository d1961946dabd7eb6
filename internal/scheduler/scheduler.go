// Package scheduler decides which waiting jobs start and where. A scheduling cycle orders all
// waiting jobs, compares what each job needs with the free capacity less the buffers that the job
// has to leave free, claims the tasks that fit and assigns them to machines, if necessary by
// preempting lower-priority work. The package also reports to the autoscaler which jobs wait for
// machines.
package scheduler

import (
	"slices"
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/capacity"
	"cherrywall/internal/claims"
	"cherrywall/internal/classstats"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/faultattribution"
	"cherrywall/internal/jobs"
	"cherrywall/internal/machinetype"
	"cherrywall/internal/membership"
	"cherrywall/internal/peer"
	"cherrywall/internal/peerstatus"
	"cherrywall/internal/statecache"
	"cherrywall/internal/tuning"
)

// Dependencies are the components from which the scheduler reads, and the writer of its claims.
type Dependencies struct {
	State        *clusterstate.State
	Membership   *membership.Table
	Cache        *statecache.Cache
	Claims       *claims.Writer
	MachineTypes *machinetype.Catalog
	ClassStats   *classstats.Stats
	Faults       *faultattribution.Attributor
	Peers        *peerstatus.Tracker
}

// Scheduler runs scheduling cycles. It has no locks: only the controller's actor may call it.
type Scheduler struct {
	Dependencies
	mailbox *actor.Mailbox
	cfg     *config.Config

	cycle       cycle
	waitReasons map[string]waitReason // by job reference
	attempts    map[string]uint64     // number of attempts so far, by shard; used by nextAttempt
	nextCycleAt time.Time             // when a requested cycle is due, zero if none is requested

	shapeCapacities   []peer.ShapeCapacity // last result of FittingTasks
	shapeCapacitiesAt time.Time            // when shapeCapacities was computed
}

// cycle caches values that one scheduling cycle needs more than once. A nil field has not been
// computed yet.
type cycle struct {
	maxReplicas          map[*clusterstate.Job]int // largest number of replicas of a service on one machine
	zones                []string
	gangFits             map[gangFitKey]gangFit
	classLoads           map[string]classLoad                // by class; used by objectiveBuffers
	preemptionPriorities map[*clusterstate.Job]jobs.Priority // results of preemptionPriority
	gangReservation      reservation
}

// New creates a scheduler whose requested cycles are triggered through the actor's mailbox.
func New(mailbox *actor.Mailbox, cfg *config.Config, deps Dependencies) *Scheduler {
	return &Scheduler{
		Dependencies: deps,
		mailbox:      mailbox,
		cfg:          cfg,
		waitReasons:  map[string]waitReason{},
		attempts:     map[string]uint64{},
	}
}

// RunCycle goes through all waiting jobs in the order of the queue, claims the tasks that fit and
// assigns claimed tasks to machines.
func (s *Scheduler) RunCycle(now time.Time) {
	queue := s.waitingJobs()
	s.sortQueue(queue, now)
	s.cycle = cycle{}
	s.reserveForOverdueGang(queue, now)
	for _, job := range queue {
		if s.Faults.IsPaused(job.Ref(), now) {
			s.waitReasons[job.Ref()] = waitReason{kind: waitFaultyJob}
			continue
		}
		s.placeClaimedTasks(job)
		if s.canClaimMore(job) {
			s.admit(job)
		}
	}
}

// canClaimMore reports whether more tasks of a job may be claimed now: some are unclaimed, a
// transaction on the job may begin, and all tasks that were claimed before have a machine.
func (s *Scheduler) canClaimMore(job *clusterstate.Job) bool {
	return len(job.Record().Unclaimed) > 0 && job.CanWriteAt(s.Cache.AppliedRevision()) && !job.HasReadyTasks()
}

// waitingJobs lists the jobs with unclaimed tasks or with claimed tasks that have no machine. Jobs
// that are blocked by their dependencies are not part of the queue. For each gang whose attempt has
// failed it also stops the remaining tasks.
func (s *Scheduler) waitingJobs() []*clusterstate.Job {
	var queue []*clusterstate.Job
	for job := range s.State.Jobs() {
		if job.HasEnded() || !job.HasRecord() || job.IsBlocked() {
			continue
		}
		s.State.StopFailedGang(job)
		if len(job.Record().Unclaimed) > 0 || job.HasReadyTasks() {
			queue = append(queue, job)
		}
	}
	return queue
}

// Recount rebuilds the capacity counts and deletes the wait reasons of jobs that no longer exist.
func (s *Scheduler) Recount(now time.Time) {
	settings, _ := s.Cache.Settings()
	s.State.RecountCapacity(now, settings.Spot)
	for ref := range s.waitReasons {
		if s.State.Job(ref) == nil {
			delete(s.waitReasons, ref)
		}
	}
}

// admit claims the tasks of a job that fit, unless it is another controller's turn to claim them.
func (s *Scheduler) admit(job *clusterstate.Job) {
	if s.waitsForTurn(job) {
		s.requestCycle(tuning.ClaimStaggerDelay)
		return
	}
	isGang := job.Record().Kind == jobs.Gang
	var buffers []capacity.Buffer
	if !isGang { // the buffers of gangs are computed by gangFitFor, once for each gangFitKey
		buffers = s.buffersFor(job)
	}
	for _, shard := range s.Membership.LocalShards() {
		if job.InTransaction() {
			return
		}
		if isGang {
			s.admitGang(job, shard)
		} else {
			s.admitArray(job, shard, buffers)
		}
	}
}

// waitsForTurn reports whether another controller should claim a new job before this controller
// does. The controllers may claim a job one after another, ClaimStaggerDelay apart, so that they
// do not all write the same record. For a gang, the first is the controller on whose machines the
// gang fits best; for other jobs, it is the controller that accepted the job. The other
// controllers claim the job only if no controller before them has claimed it.
func (s *Scheduler) waitsForTurn(job *clusterstate.Job) bool {
	now := time.Now()
	knownFor := now.Sub(job.KnownSince())
	if knownFor >= 3*tuning.ClaimStaggerDelay {
		return false
	}
	record := job.Record()
	turn := 0
	if record.Kind == jobs.Gang {
		turn = s.Peers.GangRank(record, job.Need(), s.FittingTasks(now), now)
	} else if record.AcceptedBy != s.cfg.Node {
		turn = 1
	}
	return knownFor < time.Duration(turn)*tuning.ClaimStaggerDelay
}

// requestCycle makes another scheduling cycle run after a delay. The request replaces an earlier
// request whose cycle is due later. If it did not, a cycle that is requested for the end of a
// faulty job's pause, which is minutes long, would also delay claims that are staggered by
// ClaimStaggerDelay.
func (s *Scheduler) requestCycle(delay time.Duration) {
	dueAt := time.Now().Add(delay)
	if !s.nextCycleAt.IsZero() && !dueAt.Before(s.nextCycleAt) {
		return
	}
	s.nextCycleAt = dueAt
	s.mailbox.SendAfter(delay, func() {
		if s.nextCycleAt.Equal(dueAt) {
			s.nextCycleAt = time.Time{}
		}
		s.State.MarkDirty()
	})
}

// nextAttempt returns a new attempt number for a task of a shard. The upper bits of the number are
// the shard's epoch, so the number is greater than all numbers that earlier owners of the shard
// assigned.
func (s *Scheduler) nextAttempt(shard *membership.Shard) uint64 {
	s.attempts[shard.ID()]++
	return shard.Epoch()<<tuning.AttemptBits | (s.attempts[shard.ID()] & (1<<tuning.AttemptBits - 1))
}

// candidates lists the machines of a shard on which a job may run, sorted by name. An empty zone
// stands for all zones.
func (s *Scheduler) candidates(job *clusterstate.Job, shard, zone string) []*clusterstate.Machine {
	var candidates []*clusterstate.Machine
	for _, machine := range s.State.OwnedMachines() {
		record := machine.Record()
		if record.Shard != shard || (zone != "" && record.Zone != zone) {
			continue
		}
		if s.isCandidate(job, machine) {
			candidates = append(candidates, machine)
		}
	}
	return candidates
}

func (s *Scheduler) isCandidate(job *clusterstate.Job, machine *clusterstate.Machine) bool {
	if !s.State.IsUsable(machine) || !job.Record().Allows(machine.Group()) {
		return false
	}
	if s.avoids(job, machine) || s.cycle.gangReservation.excludes(job, machine) {
		return false
	}
	_, isTypeKnown := s.State.Total(machine)
	return isTypeKnown
}

// zones lists the zones of the owned machines in sorted order.
func (s *Scheduler) zones() []string {
	if s.cycle.zones == nil {
		for _, machine := range s.State.OwnedMachines() {
			if !slices.Contains(s.cycle.zones, machine.Record().Zone) {
				s.cycle.zones = append(s.cycle.zones, machine.Record().Zone)
			}
		}
		slices.Sort(s.cycle.zones)
	}
	return s.cycle.zones
}
