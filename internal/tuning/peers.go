package tuning

import "time"

// Connections to peers.
const (
	// PeerHeartbeatInterval is how often a controller sends its status to its peers.
	PeerHeartbeatInterval = 500 * time.Millisecond
	// PeerIdleTimeout is the time without a message after which a connection is closed: several
	// heartbeat intervals.
	PeerIdleTimeout = 4 * time.Second
	// PeerTimeout is the maximum duration of an attempt to connect or to write, and also the pause
	// between two attempts.
	PeerTimeout = time.Second
	// MaxPeerFrameBytes bounds the size of a frame. A heartbeat takes a few hundred bytes.
	MaxPeerFrameBytes = 64 << 10
	// MaxPeerHeartbeatShapes is the maximum number of task shapes for which a heartbeat reports how
	// many tasks fit.
	MaxPeerHeartbeatShapes = 12
	// MaxPeerHeartbeatFaultyJobs is the maximum number of jobs at fault that a heartbeat
	// names. If more than a few are at fault at the same time, the cause is not the jobs.
	MaxPeerHeartbeatFaultyJobs = 32
)

// The failure detector.
const (
	// MinSuspicionTimeout is the minimum time without a heartbeat before a peer is suspected: long
	// enough to miss three heartbeats. On lumenweg-ops-fleet, with 9.6% of a core, the heartbeats
	// of running controllers were never more than 0.9 s apart.
	MinSuspicionTimeout = 1500 * time.Millisecond
	// HeartbeatGapWeight is the weight of a new gap between heartbeats in their mean.
	HeartbeatGapWeight = 0.05
	// HeartbeatGapDeviations times the mean deviation is how far a gap may exceed the mean gap
	// before the peer is suspected.
	HeartbeatGapDeviations = 8
	// MinHeartbeatGapSamples is the number of gaps that must be known before a peer can be
	// suspected.
	MinHeartbeatGapSamples = 4
	// SuspicionSuppressionPeriod is how long a controller suspects no peer after its process was
	// paused or its view of the key-value store was out of date.
	SuspicionSuppressionPeriod = 3 * time.Second
	// OwnerActivityValidity is how long a controller counts as alive after the write of a record
	// that only the owner of a shard writes.
	OwnerActivityValidity = 1200 * time.Millisecond
)

// The transfer of shards between live controllers.
const (
	// MaxTransferChunkTasks is the maximum number of tasks that a chunk of a transfer
	// describes, where each machine counts as one task. At about 110 bytes each, a chunk fits
	// a frame together with a heartbeat.
	MaxTransferChunkTasks = 400
	// MaxPendingTransferChunks is the maximum number of chunks in the transfer of one shard, and of
	// chunks that wait to be sent. They hold about 50,000 tasks, whose encoding takes 0.1 s of
	// processor time.
	MaxPendingTransferChunks = 128
	// TransferTimeout is how long an owner may prepare a transfer. Once the owner has sent the
	// shard, it waits as long again for the shard to be acquired before it reclaims the shard.
	// Sending the chunks takes about 100 ms.
	TransferTimeout = 2 * time.Second
	// TransferRequestTimeout is how long a controller that requests its home shard waits for the
	// transfer before it acquires the shard without one. The owner serves the shard in the
	// meantime. A controller that was paused for a few seconds reconnects to the owner within two
	// seconds.
	TransferRequestTimeout = 6 * time.Second
	// TransferRetryDelay is the pause after a failed transfer of a shard. It is long because the
	// workers of the shard are not answered during an attempt.
	TransferRetryDelay = 30 * time.Second
	// MisdirectedWorkerFraction is a fraction of a shard's workers. If the heartbeats of more
	// workers arrive at the shard's home controller instead of at the owner, the workers evidently
	// cannot reach the owner.
	MisdirectedWorkerFraction = 0.1
	// MisdirectedWorkerWindow is how far back the heartbeats that arrive at the home controller
	// count: one heartbeat interval.
	MisdirectedWorkerWindow = 5 * time.Second
	// ShutdownTransferTimeout bounds the time in which a controller that shuts down transfers its
	// shards. Peers request the transfers within a heartbeat interval, and the shards are sent one
	// after the other.
	ShutdownTransferTimeout = 4 * time.Second
	// ShutdownLastWriteTimeout bounds the controller's last write to the key-value store at
	// shutdown.
	ShutdownLastWriteTimeout = 250 * time.Millisecond
)

// The acquisition of shards.
const (
	// StartupGracePeriod is the time after its start in which a controller does not acquire the
	// shards of others. When all controllers are started together, the last one is up 1.5 s after
	// the first.
	StartupGracePeriod = 2 * time.Second
	// AcquisitionWindow is how far back acquisitions of a shard count towards
	// MaxUndelayedAcquisitions.
	AcquisitionWindow = 2 * time.Minute
	// MaxUndelayedAcquisitions is the maximum number of acquisitions of a shard in
	// AcquisitionWindow up to which the shard's home controller reclaims it from a live owner
	// without a delay. A crash, the return from it and a second crash cause three acquisitions, so
	// the return from the second crash is not delayed, but the return from a third crash is.
	MaxUndelayedAcquisitions = 3
	// MaxRecordedAcquisitions is how many acquisitions of a shard are recorded.
	MaxRecordedAcquisitions = 8
	// MinShardReturnDelay is the delay before a home controller reclaims its shard if there was one
	// more acquisition than MaxUndelayedAcquisitions. It doubles with each further acquisition.
	MinShardReturnDelay = 5 * time.Second
	// MaxShardReturnDelay is the longest delay before a home controller reclaims its shard: a
	// machine whose worker was not answered for a minute would have been replaced.
	MaxShardReturnDelay = time.Minute
)
