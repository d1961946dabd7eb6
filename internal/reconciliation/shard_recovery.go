package reconciliation

import (
	"log/slog"
	"time"

	"cherrywall/internal/clusterstate"
	"cherrywall/internal/membership"
	"cherrywall/internal/tuning"
)

// FencingToken returns the fencing token for a worker of a shard: the shard's epoch, or the revision of
// the worker's record if that is newer, because the worker registered or came from another shard since.
func FencingToken(shard *membership.Shard, machine *clusterstate.Machine) uint64 {
	return max(shard.Epoch(), machine.Revision())
}

// Stage is how far the recovery of a shard is.
type Stage int

// The stages. From StageReconciling on, the shard's owner schedules whatever is certain: jobs that
// nobody had claimed, workers that are confirmed, task ranges that are accounted for.
const (
	StageReadingRecords Stage = iota // the cache has not reached the shard's epoch
	StageReconciling                 // workers are being confirmed
	StageReconciled                  // every worker is confirmed or its lease has expired
)

// String returns the stage's name in views. The names are output of the administration API and keep
// their form.
func (s Stage) String() string {
	return [...]string{"reading records", "squaring reports", "settled"}[s]
}

// shardRecovery is the recovery of one shard under one epoch.
type shardRecovery struct {
	epoch            uint64
	acquiredAt       time.Time
	reconciledAt     time.Time
	recordedWorkers  int    // when the shard was acquired
	confirmedWorkers int    // those that reported under the epoch, or were part of a transfer
	lastConfirmed    string // host name
	// exempt are workers that need not be confirmed: no command was ever sent to them.
	exempt        map[*clusterstate.Machine]bool
	discrepancies [discrepancyCount]int
	commandsSent  map[string]int // by verb, within tuning.AcquisitionTrackingPeriod
}

// confirm counts a worker as confirmed.
func (s *shardRecovery) confirm(machine *clusterstate.Machine) {
	s.confirmedWorkers++
	s.lastConfirmed = machine.Host()
}

// isTracked reports whether the shard was acquired so recently that commands and registrations
// still count as part of its recovery.
func (s *shardRecovery) isTracked(now time.Time) bool {
	return now.Sub(s.acquiredAt) < tuning.AcquisitionTrackingPeriod
}

// markNotRunning records that no worker runs the tasks of a range whose place is unknown: they may
// be started.
func (s *shardRecovery) markNotRunning(taskRange *clusterstate.TaskRange) {
	s.discrepancies[ClaimedNotRunning] += taskRange.CountTasks(clusterstate.TaskUnknown)
	taskRange.MarkUnknownReady()
}

// discrepancyCounts returns the discrepancies that were found, by name.
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
		slog.Int("recorded_workers", s.recordedWorkers),
		slog.Int("confirmed_workers", s.confirmedWorkers),
		slog.String("last_confirmed", s.lastConfirmed),
		slog.Any("discrepancies", s.discrepancyCounts()),
		slog.Any("commands_sent", s.commandsSent),
	}
}
