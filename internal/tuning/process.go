package tuning

import "time"

// The controller's process.
const (
	// MailboxCapacity is how many messages may wait for an actor before senders block: a
	// heartbeat of each of a thousand workers.
	MailboxCapacity = 1024
	// TickInterval is how often leases, pending writes and idle machines are checked.
	TickInterval = 250 * time.Millisecond
	// ProcessStallThreshold is a gap between two ticks that shows that this process was paused
	// or starved of processor time: several times TickInterval.
	ProcessStallThreshold = 1500 * time.Millisecond
	// RecountInterval is how often derived counts are recomputed in full (the paper: one
	// minute; the design: 5 s).
	RecountInterval = 5 * time.Second
	// HeapLimitFraction of the memory allowance is the soft limit of the heap. The rest is for
	// what the runtime's count leaves out.
	HeapLimitFraction = 0.6
	// GCPercent lets the heap grow to several times what is in use before it is collected
	// (below the soft limit): processor time is short, memory is not.
	GCPercent = 400
)

// What is reported to operators.
const (
	// UnreconciledShardReportAfter is how long a shard may stay unreconciled before it is
	// reported: longer than unreachable machines can delay it.
	UnreconciledShardReportAfter = 90 * time.Second
	// MinReportedJobWait is the least wait of a job that is listed among the problems: a
	// shorter one is an ordinary claim.
	MinReportedJobWait = 10 * time.Second
	// ProblemLogInterval is how often a lasting problem is logged: often enough to be found
	// beside its cause, seldom enough to be read.
	ProblemLogInterval = 30 * time.Second
	// MaxListedNames is how many names a view lists where there may be hundreds.
	MaxListedNames = 8
	// MaxListedQuarantinedRecords is how many records that cannot be interpreted are listed
	// (entries).
	MaxListedQuarantinedRecords = 100
	// MaxQuarantinedRecordBytes is how much of each is shown (bytes).
	MaxQuarantinedRecordBytes = 200
)

// Evidence that a controller keeps of its decisions.
const (
	// DecisionLogEntries is how many of its latest decisions a controller keeps in memory: those of
	// about 20 s at 100 starts and stops a second, 250 bytes each (entries).
	DecisionLogEntries = 2048
	// DecisionsLoggedOnViolation is how many of them are logged when an invariant is violated: the line
	// stays below 64 KiB (entries).
	DecisionsLoggedOnViolation = 100
	// DecisionsShown is how many of them the administration API shows (entries).
	DecisionsShown = 500
)
