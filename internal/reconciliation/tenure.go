package reconciliation

import (
	"iter"
	"log/slog"
	"slices"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/config"
	"cherrywall/internal/membership"
	"cherrywall/internal/statecache"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
)

// Stage is how far the recovery of a share is.
type Stage int

// The stages. Decisions of a share are open from Squaring on for whatever is certain:
// jobs that nobody had claimed, machines that were heard, ranges accounted for.
const (
	StageReadingRecords Stage = iota // the records up to the taking are not known yet
	StageReconciling                 // workers are being heard
	StageReconciled                  // every worker was heard or is provably gone
)

// String is the stage's name.
func (s Stage) String() string {
	return [...]string{"reading records", "squaring reports", "settled"}[s]
}

// shardRecovery is the recovery of one share under one holding of it.
type shardRecovery struct {
	epoch            uint64
	acquiredAt       time.Time
	recordsReadAt    time.Time // when all records up to the taking were
	reconciledAt     time.Time
	recordedWorkers  int // recorded at the taking
	confirmedWorkers int
	lastConfirmed    string // the machine that was heard last
	// exempt are machines that need not be heard: nothing was ever ordered to them.
	exempt        map[*clusterstate.Machine]bool
	discrepancies [discrepancyCount]int
	commandsSent  map[string]int // by verb, while the start is being followed
}

// Dependencies are what recovery works with.
type Dependencies struct {
	State      *clusterstate.State
	Membership *membership.Table
	Cache      *statecache.Cache
}

// Reconciler follows the recovery of the shares held here. It has no locks: one actor owns it.
type Reconciler struct {
	Dependencies
	cfg        *config.Config
	log        *slog.Logger
	recoveries map[string]*shardRecovery // by share
}

// New makes a keeper.
func New(cfg *config.Config, s Dependencies, log *slog.Logger) *Reconciler {
	return &Reconciler{Dependencies: s, cfg: cfg, log: log, recoveries: map[string]*shardRecovery{}}
}

// Reset forgets all: the records are read anew.
func (k *Reconciler) Reset() { clear(k.recoveries) }

// recoveryOf is the recovery of a share held here.
func (k *Reconciler) recoveryOf(shard *membership.Shard) *shardRecovery {
	recovery := k.recoveries[shard.ID()]
	if recovery == nil || recovery.epoch != shard.Epoch() {
		recovery = &shardRecovery{epoch: shard.Epoch(), acquiredAt: shard.KnownSince(), recordedWorkers: k.State.MachineCountIn(shard.ID()), commandsSent: map[string]int{}, exempt: map[*clusterstate.Machine]bool{}}
		k.recoveries[shard.ID()] = recovery
	}
	return recovery
}

// recoveryOfWorker is the share of a machine, if its recovery is followed here.
func (k *Reconciler) recoveryOfWorker(machine *clusterstate.Machine) *shardRecovery {
	if shard := k.State.OwnedShard(machine); shard != nil {
		return k.recoveryOf(shard)
	}
	return nil
}

// CountDiscrepancy notes an outcome of a machine's first report in this tenure.
func (k *Reconciler) CountDiscrepancy(machine *clusterstate.Machine, discrepancy Discrepancy) {
	if recovery := k.recoveryOfWorker(machine); recovery != nil && !machine.HasReported() {
		recovery.discrepancies[discrepancy]++
	}
}

// WorkerRegistered notes that a machine without a record was recorded.
func (k *Reconciler) WorkerRegistered(machine *clusterstate.Machine, now time.Time) {
	if recovery := k.recoveryOfWorker(machine); recovery != nil && now.Sub(recovery.acquiredAt) < tuning.AcquisitionTrackingPeriod {
		recovery.discrepancies[WorkerUnrecorded]++
	}
}

// CommandsSent notes what is ordered in an answer to a machine.
func (k *Reconciler) CommandsSent(machine *clusterstate.Machine, orders []workerapi.Command, now time.Time) {
	recovery := k.recoveryOfWorker(machine)
	if recovery == nil || now.Sub(recovery.acquiredAt) >= tuning.AcquisitionTrackingPeriod {
		return
	}
	for _, o := range orders {
		recovery.commandsSent[o.Verb]++
	}
}

// WorkerConfirmed notes that a machine was heard for the first time in this tenure.
func (k *Reconciler) WorkerConfirmed(machine *clusterstate.Machine, now time.Time) {
	if recovery := k.recoveryOfWorker(machine); recovery != nil {
		recovery.confirmedWorkers++
		recovery.lastConfirmed = machine.Host()
		k.reconcileShard(k.State.OwnedShard(machine), now)
	}
}

// WorkerTransferred notes that a machine stands as its holder before has handed it over.
func (k *Reconciler) WorkerTransferred(machine *clusterstate.Machine) {
	if recovery := k.recoveryOfWorker(machine); recovery != nil {
		recovery.confirmedWorkers++
		recovery.lastConfirmed = machine.Host()
	}
}

// ExemptWorker notes that a machine need not be waited for: by what the holder before has handed
// over nothing was ever ordered to it.
func (k *Reconciler) ExemptWorker(machine *clusterstate.Machine) {
	if recovery := k.recoveryOfWorker(machine); recovery != nil {
		recovery.exempt[machine] = true
	}
}

// Check looks at all shares held here.
func (k *Reconciler) Check(now time.Time) {
	for _, shard := range k.Membership.LocalShards() {
		k.reconcileShard(shard, now)
		k.reconcileRanges(shard)
	}
}

// reconcileShard notes that every task of the share which no report accounts for is nowhere,
// once all its workers were heard or are gone.
func (k *Reconciler) reconcileShard(shard *membership.Shard, now time.Time) {
	// Our own write of the share is known before the watch has told of earlier
	// changes: a worker or range recorded just before it may still be missing
	// here, and a task on that worker would be started a second time.
	if shard.IsReconciled() || !k.Cache.HasReachedEpoch(shard) {
		return
	}
	recovery := k.recoveryOf(shard)
	if recovery.recordsReadAt.IsZero() {
		recovery.recordsReadAt = now
	}
	for machine := range listUnconfirmed(k, shard) { // asked after each first report: mostly the first will do
		if !isLeaseExpired(k, shard, machine, now) {
			return
		}
		k.State.AssumeLost(machine, now)
	}
	shard.MarkReconciled()
	recovery.reconciledAt = now
	for taskRange := range k.State.TaskRangesIn(shard.ID()) {
		if taskRange.IsOwned() {
			recovery.markNotRunning(taskRange)
		}
	}
	for machine := range k.State.OwnedMachinesIn(shard.ID()) {
		if machine.Revision() < shard.Epoch() && !machine.HasReported() {
			recovery.discrepancies[WorkerMissing]++
		}
	}
	k.State.MarkDirty()
	k.log.Info("share settled", append([]any{"share", shard.ID(), "after_s", now.Sub(shard.KnownSince()).Seconds(),
		"machines", recovery.recordedWorkers, "heard", recovery.confirmedWorkers, "last", recovery.lastConfirmed}, recovery.logAttributes()...)...)
}

// markNotRunning notes that what is unknown of a range is on no machine.
func (recovery *shardRecovery) markNotRunning(taskRange *clusterstate.TaskRange) {
	recovery.discrepancies[ClaimedNotRunning] += taskRange.CountTasks(clusterstate.TaskUnknown)
	taskRange.MarkUnknownReady()
}

// logAttributes is what was squared and ordered, for the log.
func (recovery *shardRecovery) logAttributes() []any {
	var out []any
	for o, n := range recovery.discrepancies {
		if n > 0 {
			out = append(out, Discrepancy(o).String(), n)
		}
	}
	for _, verb := range []string{workerapi.VerbStart, workerapi.VerbStop, workerapi.VerbAcknowledge} {
		if n := recovery.commandsSent[verb]; n > 0 {
			out = append(out, verb, n)
		}
	}
	return out
}

// reconcileRanges does the same for single ranges while some workers are still
// silent. A task is ordered only to a worker on which it is allowed and which is
// large enough, by whichever controller: if no silent worker is such a one, the
// task is on none of them, and those that were heard did not list it. So a wave
// of lost cheap machines does not hold back work that may not use any.
func (k *Reconciler) reconcileRanges(shard *membership.Shard) {
	if shard.IsReconciled() || !k.Cache.HasReachedEpoch(shard) {
		return
	}
	silent := slices.Collect(listUnconfirmed(k, shard))
	recovery := k.recoveryOf(shard)
	for taskRange := range k.State.TaskRangesIn(shard.ID()) {
		if taskRange.CountTasks(clusterstate.TaskUnknown) == 0 || taskRange.Job().HasEnded() ||
			slices.ContainsFunc(silent, func(machine *clusterstate.Machine) bool { return k.couldRun(taskRange, machine) }) {
			continue
		}
		recovery.markNotRunning(taskRange)
		k.State.MarkDirty()
	}
}

// listUnconfirmed is silent, and goneBy is gone, but in the tests' broken variants.
var (
	listUnconfirmed = (*Reconciler).unconfirmedWorkers
	isLeaseExpired  = (*Reconciler).leaseExpired
)

// leaseExpired tells whether a worker of a share that was not heard in this tenure has no tasks any
// more, by the time that has passed.
func (k *Reconciler) leaseExpired(shard *membership.Shard, machine *clusterstate.Machine, now time.Time) bool {
	return now.After(k.cfg.WorkerLeaseExpiresAt(shard.KnownSince(), machine.LastHeartbeatAt()))
}

// unconfirmedWorkers are the workers of a share that were neither heard nor are gone, and to which an
// earlier holder may have ordered tasks of the share. Those whose records are younger than
// the taking were enrolled since, or moved here empty: with them among the silent a share
// taken while hundreds of machines came up was not settled before the last of them, 12 s
// after all that mattered had been heard.
//
// In no order: looked for from the same end each time, the first of thousands is behind all
// that were heard.
func (k *Reconciler) unconfirmedWorkers(shard *membership.Shard) iter.Seq[*clusterstate.Machine] {
	spared := k.recoveryOf(shard).exempt
	return func(yield func(*clusterstate.Machine) bool) {
		for machine := range k.State.Machines() {
			if machine.Record().Shard == shard.ID() && machine.Revision() < shard.Epoch() && !machine.HasReported() && !machine.IsLost() && !spared[machine] && !yield(machine) {
				return
			}
		}
	}
}

// couldRun tells whether a task of a range may ever have been ordered to a
// worker: by its mark, and by what is allowed. Of a type that is not known nothing is
// ruled out.
func (k *Reconciler) couldRun(taskRange *clusterstate.TaskRange, machine *clusterstate.Machine) bool {
	total, known := k.State.Total(machine)
	return taskRange.MayBeOn(machine.Host()) && taskRange.Job().Record().Allows(machine.Group()) && (taskRange.Record().Zone == "" || taskRange.Record().Zone == machine.Record().Zone) &&
		(!known || total.Covers(taskRange.Job().Need()))
}

// View is how the recovery of a share stands, for operators.
type View struct {
	Shard              string         `json:"share"`
	Stage              string         `json:"stage"`
	SinceS             float64        `json:"since_s"`   // the taking
	ReconciledAfterS   float64        `json:"settled_s"` // after it; 0: not yet
	RecordedWorkers    int            `json:"machines"`  // recorded at the taking
	ConfirmedWorkers   int            `json:"heard"`     // of them and of new ones
	UnconfirmedWorkers int            `json:"waits_for"` // machines that are neither heard nor gone
	UnconfirmedSample  []string       `json:"some,omitempty"`
	LongestWaitS       float64        `json:"within_s"` // the longest that they are waited for from now on
	UnaccountedTasks   int            `json:"unaccounted"`
	Discrepancies      map[string]int `json:"outcomes"`
	CommandsSent       map[string]int `json:"orders"` // in the first seconds
}

// Views are the recoveries of the shares held here.
func (k *Reconciler) Views(now time.Time) []View {
	out := []View{}
	for _, shard := range k.Membership.LocalShards() {
		recovery := k.recoveryOf(shard)
		view := View{Shard: shard.ID(), SinceS: now.Sub(recovery.acquiredAt).Seconds(), RecordedWorkers: recovery.recordedWorkers, ConfirmedWorkers: recovery.confirmedWorkers,
			Discrepancies: map[string]int{}, CommandsSent: recovery.commandsSent}
		stage := StageReconciled
		switch {
		case !k.Cache.HasReachedEpoch(shard):
			stage = StageReadingRecords
		case !shard.IsReconciled():
			stage = StageReconciling
			for machine := range listUnconfirmed(k, shard) {
				view.UnconfirmedSample = append(view.UnconfirmedSample, machine.Host())
			}
			slices.Sort(view.UnconfirmedSample)
			view.UnconfirmedWorkers = len(view.UnconfirmedSample)
			view.UnconfirmedSample = view.UnconfirmedSample[:min(len(view.UnconfirmedSample), tuning.MaxListedNames)]
			view.LongestWaitS = max(0, k.cfg.PreviousOwnerExpiryDelay()-now.Sub(shard.KnownSince())).Seconds()
			for taskRange := range k.State.TaskRangesIn(shard.ID()) {
				if taskRange.IsOwned() {
					view.UnaccountedTasks += taskRange.CountTasks(clusterstate.TaskUnknown)
				}
			}
		case !recovery.reconciledAt.IsZero():
			view.ReconciledAfterS = recovery.reconciledAt.Sub(recovery.acquiredAt).Seconds()
		}
		view.Stage = stage.String()
		for o, n := range recovery.discrepancies {
			if n > 0 {
				view.Discrepancies[Discrepancy(o).String()] = n
			}
		}
		out = append(out, view)
	}
	return out
}
