// Package decide is the round of decisions over all waiting jobs: their order, the
// counts less the buffers, the claims that follow, and what waits for machines.
package scheduler

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/capacity"
	"cherrywall/internal/claims"
	"cherrywall/internal/classstats"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/deadline"
	"cherrywall/internal/faultattribution"
	"cherrywall/internal/jobs"
	"cherrywall/internal/machinetype"
	"cherrywall/internal/membership"
	"cherrywall/internal/peer"
	"cherrywall/internal/peerstatus"
	"cherrywall/internal/statecache"
	"cherrywall/internal/tuning"
)

// Dependencies are what decisions are made with.
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

// Scheduler has no locks: one actor owns it.
type Scheduler struct {
	Dependencies
	loop *actor.Mailbox
	cfg  *config.Config
	log  *slog.Logger

	cycle          cycle
	waitReasons    map[string]waitReason // of jobs that nothing was found for, by ref
	attempts       map[string]uint64     // attempts given out, by share
	nextCycleAt    time.Time             // see again
	fittingTasks   []peer.ShapeCapacity  // see Rooms
	fittingTasksAt time.Time
}

// waitReason is why a job waits, for people: put into words only when somebody asks.
type waitReason struct {
	text         string
	fittingTasks int // how many of its tasks fitted then
}

// Why gangs wait; other jobs' reasons are words already.
const (
	waitForCapacity = "room"
	waitForZone     = "zone"
)

// waitForQuota tells people that a job waits for its team's limit.
const waitForQuota = "the team's limit"

// waitForFaultyJob tells people why a job waits that is at fault itself.
const waitForFaultyJob = "it failed on several machines where other jobs work: it pauses, and is tried in small"

// cycle is what one round of decisions needs more than once.
type cycle struct {
	maxReplicas          map[*clusterstate.Job]int // the most replicas on one machine
	zones                []string
	gangFits             map[shape]gangFit
	classLoads           map[string]classLoad                // by class, what is expected of it; see owners
	preemptionPriorities map[*clusterstate.Job]jobs.Priority // see presses
	reserved             reservation
}

// New makes a decider.
func New(l *actor.Mailbox, cfg *config.Config, s Dependencies, log *slog.Logger) *Scheduler {
	return &Scheduler{Dependencies: s, loop: l, cfg: cfg, log: log, waitReasons: map[string]waitReason{}, attempts: map[string]uint64{}}
}

// RunCycle looks at every waiting job in order and starts what fits.
func (d *Scheduler) RunCycle(now time.Time) {
	var queue []*clusterstate.Job
	for job := range d.State.Jobs() {
		if job.HasEnded() || !job.HasRecord() {
			continue
		}
		if job.IsBlocked() {
			continue // for other jobs: it is none of the queue's
		}
		d.State.StopFailedGang(job)
		if len(job.Record().Unclaimed) > 0 || job.HasReadyTasks() {
			queue = append(queue, job)
		}
	}
	d.sortQueue(queue, now)
	d.cycle = cycle{}
	d.reserveForOverdueGang(queue, now)
	for _, job := range queue {
		if d.Faults.IsPaused(job.Ref(), now) {
			d.waitReasons[job.Ref()] = waitReason{text: waitForFaultyJob}
			continue
		}
		d.placeClaimed(job)
		if len(job.Record().Unclaimed) > 0 && job.CanWriteAt(d.Cache.AppliedRevision()) && !job.HasReadyTasks() {
			d.admit(job)
		}
	}
}

// Recount makes the counts anew and forgets what nobody needs any more.
func (d *Scheduler) Recount(now time.Time) {
	set, _ := d.Cache.Settings()
	d.State.RecountCapacity(now, set.Spot)
	for ref := range d.waitReasons {
		if d.State.Job(ref) == nil {
			delete(d.waitReasons, ref)
		}
	}
}

// WaitReason tells people why a job waits; empty if that is not known.
func (d *Scheduler) WaitReason(job *clusterstate.Job) string {
	if d.Faults.IsJobFaulty(job.Ref()) {
		return waitForFaultyJob
	}
	switch w := d.waitReasons[job.Ref()]; w.text {
	case waitForCapacity:
		return fmt.Sprintf("%d tasks fit, %d needed", w.fittingTasks, job.Record().Tasks)
	case waitForZone:
		return fmt.Sprintf("%d tasks fit, but no zone holds %d", w.fittingTasks, job.Record().Tasks)
	default:
		return w.text
	}
}

// sortQueue orders waiting jobs: by priority, then services by arrival, gangs by
// what can still be met (see order.StartBy), and among arrays those first that have to
// start soonest to be done in time. Within a priority a later job may still pass
// one that does not fit.
func (d *Scheduler) sortQueue(queue []*clusterstate.Job, now time.Time) {
	type place struct {
		j          *clusterstate.Job
		overdue    bool
		priority   jobs.Priority
		background bool
		use        float64 // of its team, if it is background work
		startBy    int64
	}
	places := make([]place, len(queue))
	use := map[string]float64{}
	for i, job := range queue {
		rec := job.Record()
		p := place{j: job, overdue: isOverdue(job, now), priority: job.Priority(), background: job.IsBackground(),
			startBy: deadline.StartByMS(d.deadlineJob(job), d.cfg.Cluster.Objectives, now)}
		if p.background {
			if _, known := use[rec.Team]; !known {
				use[rec.Team] = d.teamUsage(rec.Team).CPU
			}
			p.use = use[rec.Team]
		}
		places[i] = p
	}
	slices.SortFunc(places, func(x, y place) int {
		switch {
		case x.overdue != y.overdue:
			if x.overdue {
				return -1
			}
			return 1
		case x.overdue && x.j.RunnableSinceMS() != y.j.RunnableSinceMS():
			return cmp.Compare(x.j.RunnableSinceMS(), y.j.RunnableSinceMS())
		case x.priority != y.priority:
			return cmp.Compare(y.priority, x.priority)
		case x.background != y.background:
			if y.background {
				return -1
			}
			return 1
		case x.use != y.use:
			return cmp.Compare(x.use, y.use) // the room left over is shared by team: a flood starves nobody
		case x.startBy != y.startBy:
			return cmp.Compare(x.startBy, y.startBy)
		}
		return strings.Compare(x.j.Ref(), y.j.Ref())
	})
	for i, p := range places {
		queue[i] = p.j
	}
}

// deadlineJob is what a job's place in the queue depends on.
func (d *Scheduler) deadlineJob(job *clusterstate.Job) deadline.Job {
	return deadline.Job{Record: job.Record(), RunnableSinceMS: job.RunnableSinceMS(), RunSeconds: d.ExpectedRunSeconds(job.Record()), CompletionSeconds: job.DependencyNode().ExpectedRunSeconds(), Deadlines: job.Deadlines()}
}

// shape is all of a job that its counts depend on: many that wait have the same.
type shape struct {
	need               capacity.Resources
	priority           jobs.Priority
	team               string
	spot               bool
	zone, machineTypes string
	isFaulty           bool // nothing is stopped for such a job, see mayPreempt
}

func (d *Scheduler) shapeOf(job *clusterstate.Job) shape {
	rec := job.Record()
	s := shape{need: job.Need(), priority: d.preemptionPriority(job), team: rec.Team, spot: rec.Spot, machineTypes: "any", isFaulty: d.Faults.IsJobFaulty(job.Ref())}
	if rec.Zone != nil {
		s.zone = *rec.Zone
	}
	if rec.MachineTypes != nil {
		s.machineTypes = strings.Join(slices.Sorted(slices.Values(rec.MachineTypes)), " ")
	}
	return s
}

// gangFit is what the counts say to one task more and more of a shape.
type gangFit struct {
	version         uint64 // of the counts
	tasks           int    // see reach
	tasksInBestZone int    // the most in one zone, lower work set aside
}

// gangFitFor is the same for all waiting gangs of a shape until a count changes: a
// hundred gangs that wait cost little more than one.
func (d *Scheduler) gangFitFor(job *clusterstate.Job) gangFit {
	version := d.State.FreeCapacity().Version()
	key := d.shapeOf(job)
	if w, known := d.cycle.gangFits[key]; known && w.version == version {
		return w
	}
	w := gangFit{version: version, tasks: d.fittingWithPreemption(job, job.Record().Allows, d.buffersFor(job))}
	for _, z := range d.zones() {
		w.tasksInBestZone = max(w.tasksInBestZone, d.tasksFittingInZone(job, z))
	}
	if d.cycle.gangFits == nil {
		d.cycle.gangFits = map[shape]gangFit{}
	}
	d.cycle.gangFits[key] = w
	return w
}

// nextAttempt is a new attempt number, above all that earlier holders of the share gave.
func (d *Scheduler) nextAttempt(shard *membership.Shard) uint64 {
	d.attempts[shard.ID()]++
	return shard.Epoch()<<tuning.AttemptBits | (d.attempts[shard.ID()] & (1<<tuning.AttemptBits - 1))
}

// candidates lists the machines of a share on which a job may run, in the
// order of their names.
func (d *Scheduler) candidates(job *clusterstate.Job, share, zone string) []*clusterstate.Machine {
	var out []*clusterstate.Machine
	for _, machine := range d.State.OwnedMachines() {
		if rec := machine.Record(); rec.Shard == share && (zone == "" || rec.Zone == zone) && d.State.IsUsable(machine) && job.Record().Allows(machine.Group()) &&
			!d.Faults.ShouldAvoid(job.Ref(), machine.Host()) && !d.cycle.reserved.excludes(job, machine) {
			if _, known := d.State.Total(machine); known {
				out = append(out, machine)
			}
		}
	}
	return out
}

func (d *Scheduler) zones() []string {
	if d.cycle.zones == nil {
		for _, machine := range d.State.OwnedMachines() {
			if !slices.Contains(d.cycle.zones, machine.Record().Zone) {
				d.cycle.zones = append(d.cycle.zones, machine.Record().Zone)
			}
		}
		slices.Sort(d.cycle.zones)
	}
	return d.cycle.zones
}

// admit admits an unclaimed job by comparing its need with the count of
// its shape, and claims what fits.
func (d *Scheduler) admit(job *clusterstate.Job) {
	now := time.Now()
	rec := job.Record()
	if now.Sub(job.KnownSince()) < 3*tuning.ClaimStaggerDelay {
		// The best placed goes first; the others follow in turn, should it fail.
		turn := 0
		if rec.Kind == jobs.Gang {
			turn = d.Peers.GangRank(rec, job.Need(), d.FittingTasks(now), now)
		} else if rec.AcceptedBy != d.cfg.Node {
			turn = 1
		}
		if now.Sub(job.KnownSince()) < time.Duration(turn)*tuning.ClaimStaggerDelay {
			d.requestCycle(tuning.ClaimStaggerDelay)
			return
		}
	}
	var bufs []capacity.Buffer
	if rec.Kind != jobs.Gang { // those of gangs: see gangAnswer
		bufs = d.buffersFor(job)
	}
	for _, shard := range d.Membership.LocalShards() {
		if job.InTransaction() {
			return
		}
		if rec.Kind == jobs.Gang {
			d.admitGang(job, shard)
		} else {
			d.admitArray(job, shard, bufs)
		}
	}
}

// requestCycle has the decisions made once more after a while. What is asked for soon
// does not wait for what was asked for later.
func (d *Scheduler) requestCycle(after time.Duration) {
	due := time.Now().Add(after)
	if !d.nextCycleAt.IsZero() && !due.Before(d.nextCycleAt) {
		return
	}
	d.nextCycleAt = due
	d.loop.SendAfter(after, func() {
		if d.nextCycleAt.Equal(due) {
			d.nextCycleAt = time.Time{}
		}
		d.State.MarkDirty()
	})
}

// FittingTasks are what the other controllers are told, and what the renting actor counts on:
// how many tasks of the shapes that are waited for or expected fit, by zone. They are
// counted anew no more often than they are told.
func (d *Scheduler) FittingTasks(now time.Time) []peer.ShapeCapacity {
	if now.Sub(d.fittingTasksAt) < tuning.PeerHeartbeatInterval/2 {
		return d.fittingTasks
	}
	shapes := map[capacity.Resources]*jobs.JobRecord{}
	for _, g := range d.GrowthBuffers(now) {
		shapes[g.Need] = g.Record
	}
	for job := range d.State.Jobs() {
		if !job.HasEnded() && !job.IsBlocked() && job.Record().Kind == jobs.Gang && len(job.Record().Unclaimed) > 0 && len(shapes) < tuning.MaxPeerHeartbeatShapes {
			shapes[job.Need()] = job.Record()
		}
	}
	d.fittingTasks, d.fittingTasksAt = nil, now
	for need, rec := range shapes {
		per := map[string]*peer.ShapeCapacity{}
		for _, machine := range d.State.OwnedMachines() {
			if !d.State.IsUsable(machine) {
				continue
			}
			zone := machine.Record().Zone
			c := per[zone]
			if c == nil {
				c = &peer.ShapeCapacity{CPU: need.CPU, GPU: need.GPU, Mem: need.MemGB, Zone: zone}
				per[zone] = c
			}
			if rec.Allows(machine.Group()) {
				free := capacity.FitCount(d.State.Free(machine), need)
				c.Free += free
				c.Preemptible += d.LendableTasks(machine, classstats.GrowthBuffer{Record: rec, Need: need}) - free
			}
		}
		for _, c := range per {
			d.fittingTasks = append(d.fittingTasks, *c)
		}
	}
	return d.fittingTasks
}

// CapacityRow is a line of the table of counts, for people.
type CapacityRow struct {
	Shape     capacity.Resources `json:"shape"`
	Zone      string             `json:"zone"`
	Fitting   int                `json:"fit"`
	Allocable int                `json:"allocable"` // of those that fit, beside the buffers
	Buffers   []capacity.Buffer  `json:"buffers,omitempty"`
}

// CapacityTable is the counts for the shapes of all unfinished jobs, by zone.
func (d *Scheduler) CapacityTable() []CapacityRow {
	seen := map[capacity.Resources]*clusterstate.Job{}
	for job := range d.State.Jobs() {
		if !job.HasEnded() && !job.IsBlocked() {
			seen[job.Need()] = job
		}
	}
	out := []CapacityRow{}
	counts := d.State.FreeCapacity()
	for need, job := range seen {
		bufs := d.buffersFor(job)
		for _, z := range d.zones() {
			in := func(g capacity.Group) bool { return g.Zone == z }
			out = append(out, CapacityRow{need, z, counts.Count(need, in), counts.Allocable(need, in, bufs), bufs})
		}
	}
	return out
}
