package reconciliation

import (
	"log/slog"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/membership"
	"cherrywall/internal/tuning"
)

// FencingToken returns the fencing token for a worker of a shard: the shard's epoch, or the revision of
// the worker's record if that is higher. It is higher if the worker has registered, or has come from
// another shard, since the shard was acquired.
func FencingToken(shard *membership.Shard, machine *clusterstate.Machine) uint64 {
	return max(shard.Epoch(), machine.Revision())
}

// Stage is the progress of the recovery of a shard.
type Stage int

// The stages. From StageReconciling on, the shard's owner uses the confirmed workers to run tasks
// of jobs that no controller has claimed yet, and of task ranges in which the location of every task is
// known.
const (
	StageReadingRecords Stage = iota // the cache has not reached the shard's epoch
	StageReconciling                 // workers are being confirmed
	StageReconciled                  // every worker is confirmed or its lease has expired
)

// String returns the stage's name in views. The names are part of the administration API
// and must not change.
func (s Stage) String() string {
	return [...]string{"reading records", "squaring reports", "settled"}[s]
}

// shardRecovery is the recovery of one shard under one epoch.
type shardRecovery struct {
	epoch                uint64
	acquiredAt           time.Time
	reconciledAt         time.Time
	recordedWorkerCount  int    // number of workers that had a record when the shard was acquired
	confirmedWorkerCount int    // number of workers confirmed by a heartbeat under the epoch or by the previous owner's snapshot
	lastConfirmedHost    string // the worker that was confirmed last
	// exemptWorkers need not be confirmed, because no command was ever sent to them.
	exemptWorkers map[*clusterstate.Machine]bool
	discrepancies [discrepancyCount]int // number of occurrences of each discrepancy
	commandsSent  map[string]int        // number of commands by verb, counted for tuning.AcquisitionTrackingPeriod after the acquisition
}

// confirm counts a worker as confirmed.
func (s *shardRecovery) confirm(machine *clusterstate.Machine) {
	s.confirmedWorkerCount++
	s.lastConfirmedHost = machine.Host()
}

// isInTrackingPeriod reports whether the shard was acquired so recently that commands and registrations
// still count as part of its recovery.
func (s *shardRecovery) isInTrackingPeriod(now time.Time) bool {
	return now.Sub(s.acquiredAt) < tuning.AcquisitionTrackingPeriod
}

// markNotRunning records that no worker runs those tasks of a range whose location is unknown, so
// that they may be started.
func (s *shardRecovery) markNotRunning(taskRange *clusterstate.TaskRange) {
	s.discrepancies[ClaimedNotRunning] += taskRange.CountTasks(clusterstate.TaskUnknown)
	taskRange.MarkUnknownReady()
}

// discrepancyCounts returns the number of each kind of discrepancy that was found, by name.
func (s *shardRecovery) discrepancyCounts() map[string]int {
	counts := map[string]int{}
	for discrepancy, count := range s.discrepancies {
		if count > 0 {
			counts[Discrepancy(discrepancy).String()] = count
		}
	}
	return counts
}

// logAttributes returns the figures of the recovery for a log line.
func (s *shardRecovery) logAttributes() []any {
	return []any{
		slog.Int("recorded_workers", s.recordedWorkerCount),
		slog.Int("confirmed_workers", s.confirmedWorkerCount),
		slog.String("last_confirmed", s.lastConfirmedHost),
		slog.Any("discrepancies", s.discrepancyCounts()),
		slog.Any("commands_sent", s.commandsSent),
	}
}
