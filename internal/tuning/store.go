package tuning

import "time"

// Leases of controllers and reads of the store's revision.
const (
	// ControllerLeaseTTL is the time to live of a controller's lease in the key-value store: how
	// long a controller may fail to renew it before its shards fail over. It is shorter than a
	// restart, so that after a crash another controller answers the workers before the crashed one
	// is back, and longer than a slow answer of the store.
	ControllerLeaseTTL = 4 * time.Second
	// ControllerLeaseRenewInterval is how often a controller's lease is renewed: three attempts fit
	// into one ControllerLeaseTTL.
	ControllerLeaseRenewInterval = 1200 * time.Millisecond
	// RevisionReadInterval is how often the store's revision is read when no poll causes a read.
	// The time of the last read shows how recent the records are on which a controller bases its
	// answers to workers.
	RevisionReadInterval = time.Second
	// MinRevisionSampleInterval is the minimum time between two samples of the revision that the
	// store has reached. It is short against MaxStartKnowledgeAge, and a dozen samples cover that age.
	MinRevisionSampleInterval = 200 * time.Millisecond
	// MinRevisionReadGap is the minimum time between two reads of the revision, so that a
	// burst of polls shares one read.
	MinRevisionReadGap = 20 * time.Millisecond
	// MinPollRevisionReadGap replaces MinRevisionReadGap when only polls wait for the read. Users
	// give up a poll after 2 s, and all controllers together may make 150 requests a second.
	MinPollRevisionReadGap = 100 * time.Millisecond
)

// Requests to the key-value store.
const (
	// StoreRequestTimeout is the maximum duration of a request to the store. Answers take under 10
	// ms and occasionally a few hundred milliseconds.
	StoreRequestTimeout = 1500 * time.Millisecond
	// WatchRequestWait is how long one watch request waits for changes. The store allows 60 s; with
	// a shorter wait, a dead connection is noticed earlier.
	WatchRequestWait = 10 * time.Second
	// WatchStuckAfter is how long a watch may lag behind a known revision before it is
	// restarted.
	WatchStuckAfter = 1200 * time.Millisecond
	// MinWatchRequestGap is the minimum time between two watch requests. Without it, the watches of
	// all controllers would use up the request budget when there are many changes.
	MinWatchRequestGap = 100 * time.Millisecond
	// WatchTimeoutMargin is how much longer than WatchRequestWait a watch may take to answer.
	WatchTimeoutMargin = 5 * time.Second
	// MinRetryDelay is the first pause after a failed request.
	MinRetryDelay = 200 * time.Millisecond
	// MaxRetryDelay bounds the pause after failed requests.
	MaxRetryDelay = 2 * time.Second
	// IdleConnectionTimeout is how long an unused connection is kept open.
	IdleConnectionTimeout = 30 * time.Second
	// DialTimeout is the maximum duration of an attempt to connect. It is needed because a host
	// that drops packets gives no error.
	DialTimeout = time.Second
	// ListPageRows is the number of rows read in one request. The store allows 1,000.
	ListPageRows = 500
)

// The rate limits of the key-value store, as shared by the controllers.
const (
	// ControllerBudgetFraction is the fraction of the store's rate limits that one controller may
	// use. It is above an equal share, since the other controllers are rarely all busy.
	ControllerBudgetFraction = 0.5
	// EvenBudgetFraction, divided by the number of controllers, is the minimum to which a
	// controller's fraction of the rate limits is reduced while the store refuses requests. The
	// remainder to 1 is a reserve, since the store may count bursts differently.
	EvenBudgetFraction = 0.95
	// BusyControllerBudgetFraction is the maximum fraction that one controller uses while its peers
	// report low usage. It is well below 1 because all of the peers may become busy at once, and
	// their heartbeats report that half a second later.
	BusyControllerBudgetFraction = 0.6
	// BudgetOvercommitFactor times the limits is the amount from which the usage reported by the
	// peers is subtracted to get a controller's budget. It is above 1 because a refusal costs a few
	// tens of milliseconds, and waiting for budget that a peer does not use after all may cost
	// more.
	BudgetOvercommitFactor = 1.25
	// BudgetUsageSmoothingPeriod is the time constant with which the usage that is reported to
	// peers is averaged.
	BudgetUsageSmoothingPeriod = 500 * time.Millisecond
	// BudgetBackoffFactor is the factor by which a controller's fraction of the rate limits is
	// multiplied at each refusal.
	BudgetBackoffFactor = 0.85
	// BudgetRecoveryInterval is the time without a refusal after which a controller's fraction of
	// the rate limits is divided by BudgetBackoffFactor.
	BudgetRecoveryInterval = 2 * time.Second
	// RateLimitedAttempts is the maximum number of attempts at a request that the store
	// refuses because of its rate limits.
	RateLimitedAttempts = 4
	// RateLimitedRetryDelay is the first pause after the store has refused a request because of its
	// rate limits. Before the last attempt, a budget of 50 changes a second has regained a few
	// changes.
	RateLimitedRetryDelay = 30 * time.Millisecond
	// BudgetPollInterval is how often a caller checks again whether it may proceed while it leaves
	// the budget to more urgent callers.
	BudgetPollInterval = 20 * time.Millisecond
)

// Sizes of records in the key-value store.
const (
	// RecordValueFraction is the fraction of the maximum value size that a job's record may use.
	// The rest is a reserve for fields that are added later, and for bytes that the store counts in
	// addition to those of the record.
	RecordValueFraction = 0.8
	// ValueMarginBytes is left free in every value, in case the store counts slightly more
	// bytes than the value has.
	ValueMarginBytes = 16
	// MaxTxnBytes bounds what one transaction writes. The store accepts 64 KiB, including keys
	// and preconditions.
	MaxTxnBytes = 48 << 10
	// MaxChunkedRecordBytes bounds a record that is stored in chunks: the size of the largest user
	// request, plus half of that size for the record's other fields.
	MaxChunkedRecordBytes = 96 << 10
	// MaxCachedChunkedRecords is the maximum number of records stored in chunks that are cached in
	// full. There are few such records.
	MaxCachedChunkedRecords = 64
	// MaxChunkPointerBytes is an upper bound on the size of a record that refers to chunks.
	MaxChunkPointerBytes = 128
	// MaxChunkAssembleAttempts is the maximum number of attempts to read a record that is
	// rewritten while its chunks are read.
	MaxChunkAssembleAttempts = 4
	// ChunkCleanupInterval is the time between two passes over all chunks. A pass deletes the
	// chunks to which no record pointed in the previous pass either. Chunks that are being written
	// are safe, since their record is stored long before a second pass.
	ChunkCleanupInterval = time.Minute
	// MinValueKB is the smallest limit of the value size (KiB) with which the program can
	// work: the size of a usual job's record.
	MinValueKB = 1.0
	// MinTxnOps is the smallest limit of changes per transaction with which the program can work:
	// the number of changes needed to record the end of a job with one task range.
	MinTxnOps = 4
)
