package tuning

import "time"

// The controller's process.
const (
	// MailboxCapacity is how many messages may wait for an actor before senders block: one
	// heartbeat from each of a thousand workers.
	MailboxCapacity = 1024
	// TickInterval is how often leases, pending writes and idle machines are checked.
	TickInterval = 250 * time.Millisecond
	// ProcessStallThreshold is the gap between two ticks that shows that this process was
	// paused or starved of processor time: several times TickInterval.
	ProcessStallThreshold = 1500 * time.Millisecond
	// RecountInterval is how often derived counts are recomputed in full. The Kerveros paper
	// recomputes them every minute; the design of this scheduler requires every 5 s.
	RecountInterval = 5 * time.Second
	// HeapLimitFraction is the fraction of the memory allowance that is the soft limit of the
	// heap. The rest is for memory that the runtime does not count.
	HeapLimitFraction = 0.6
	// GCPercent is the growth of the heap (percent of the memory in use) after which garbage is
	// collected, unless the soft limit is reached first. It is high because processor time is
	// scarce and memory is not.
	GCPercent = 400
)

// What is reported to operators.
const (
	// UnreconciledShardReportAfter is how long a shard may stay unreconciled before it is
	// reported. It is longer than any delay that unreachable machines can cause.
	UnreconciledShardReportAfter = 90 * time.Second
	// MinReportedJobWait is the minimum wait of a job that is listed among the problems. A job
	// often waits for less than this until it is claimed.
	MinReportedJobWait = 10 * time.Second
	// ProblemLogInterval is how often a lasting problem is logged: often enough to appear
	// close to its cause in the log, and rarely enough to keep the log readable.
	ProblemLogInterval = 30 * time.Second
	// MaxListedNames is the maximum number of names in a view that could list hundreds.
	MaxListedNames = 8
	// MaxListedQuarantinedRecords is the maximum number of listed records that cannot be
	// interpreted.
	MaxListedQuarantinedRecords = 100
	// MaxQuarantinedRecordBytes is how many bytes of each listed record are shown.
	MaxQuarantinedRecordBytes = 200
)

// Evidence that a controller keeps of its decisions.
const (
	// DecisionLogEntries is how many decisions a controller keeps in memory. At 100 starts and
	// stops a second, these are the decisions of the last 20 s or so. Each takes 250 bytes.
	DecisionLogEntries = 2048
	// DecisionsLoggedOnViolation is how many of the kept decisions are logged when an invariant is
	// violated. The log line stays below 64 KiB.
	DecisionsLoggedOnViolation = 100
	// DecisionsShown is how many of the kept decisions the administration API shows.
	DecisionsShown = 500
)
