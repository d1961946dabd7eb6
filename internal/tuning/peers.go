package tuning

import "time"

// Connections to peers.
const (
	// PeerHeartbeatInterval is how often a controller sends its status to its peers.
	PeerHeartbeatInterval = 500 * time.Millisecond
	// PeerIdleTimeout ends a connection on which no message arrives: several heartbeat
	// intervals.
	PeerIdleTimeout = 4 * time.Second
	// PeerTimeout ends an attempt to connect or to write, and is the pause between two
	// attempts.
	PeerTimeout = time.Second
	// MaxPeerFrameBytes bounds the size of a frame. A heartbeat takes a few hundred bytes.
	MaxPeerFrameBytes = 64 << 10
	// MaxPeerHeartbeatShapes bounds the task shapes whose counts a heartbeat carries.
	MaxPeerHeartbeatShapes = 12
	// MaxPeerHeartbeatFaultyJobs is the maximum number of jobs at fault that a heartbeat
	// names. If more than a few are at fault at the same time, the cause is not the jobs.
	MaxPeerHeartbeatFaultyJobs = 32
)

// The failure detector.
const (
	// MinSuspicionTimeout is the minimum time without a heartbeat before a peer is suspected:
	// three heartbeats are missing. On lumenweg-ops-fleet at 9.6% of a core, no gap was above
	// 0.9 s except where a controller had ended.
	MinSuspicionTimeout = 1500 * time.Millisecond
	// HeartbeatGapWeight is the weight of a new gap between heartbeats in their mean.
	HeartbeatGapWeight = 0.05
	// HeartbeatGapDeviations is how many deviations a gap may be above the mean before the
	// peer is suspected.
	HeartbeatGapDeviations = 8
	// MinHeartbeatGapSamples is the number of heartbeats after which the gaps of a peer count
	// as known.
	MinHeartbeatGapSamples = 4
	// SuspicionSuppressionPeriod is how long a controller suspects no peer after it was paused
	// or lost the key-value store.
	SuspicionSuppressionPeriod = 3 * time.Second
	// OwnerActivityValidity is how long a record that only a shard's owner writes proves that
	// the owner is alive.
	OwnerActivityValidity = 1200 * time.Millisecond
)

// The transfer of shards between live controllers.
const (
	// MaxTransferChunkTasks is the maximum number of tasks that a chunk of a transfer
	// describes, where each machine counts as one task. At about 110 bytes each, a chunk fits
	// a frame together with a heartbeat.
	MaxTransferChunkTasks = 400
	// MaxPendingTransferChunks is the maximum number of chunks that a shard may have and that
	// may wait to be sent: about 50,000 tasks, which take a tenth of a second of a core to
	// write.
	MaxPendingTransferChunks = 128
	// TransferTimeout is how long an owner may prepare a transfer. Once it has sent the shard,
	// the owner waits for the acquisition for the same time before it reclaims the shard.
	// Chunks take about 100 ms.
	TransferTimeout = 2 * time.Second
	// TransferRequestTimeout is how long a controller that requests its home shard waits for
	// the transfer before it acquires the shard without one. After a pause of seconds its
	// connection to the owner is up again within two seconds, and the owner serves the shard
	// in the meantime.
	TransferRequestTimeout = 6 * time.Second
	// TransferRetryDelay is how long a shard is not transferred again after a failed transfer:
	// during each attempt the workers of the shard are not answered.
	TransferRetryDelay = 30 * time.Second
	// MisdirectedWorkerFraction is the fraction of a shard's workers that must contact the shard's
	// home controller within StrayWorkerWindow, although another controller owns the shard, to
	// show that they cannot reach the owner.
	MisdirectedWorkerFraction = 0.1
	// MisdirectedWorkerWindow is how far back these contacts count: one heartbeat interval.
	MisdirectedWorkerWindow = 5 * time.Second
	// ShutdownTransferTimeout bounds the time in which a controller that shuts down transfers
	// its shards. The transfers are requested within a heartbeat interval, and sent one after
	// the other.
	ShutdownTransferTimeout = 4 * time.Second
	// ShutdownLastWriteTimeout bounds the controller's last write to the key-value store at
	// shutdown.
	ShutdownLastWriteTimeout = 250 * time.Millisecond
)

// The acquisition of shards.
const (
	// StartupGracePeriod is how long a controller that has just started does not acquire the
	// shards of others. When all controllers start together, the last one is 1.5 s behind the
	// first.
	StartupGracePeriod = 2 * time.Second
	// AcquisitionWindow is how far back acquisitions of a shard count towards
	// MaxUndelayedAcquisitions.
	AcquisitionWindow = 2 * time.Minute
	// MaxUndelayedAcquisitions is how many acquisitions of a shard cause no delay: those of a
	// crash and the return from it, twice. After more of them the home controller waits before
	// it reclaims the shard from a live owner.
	MaxUndelayedAcquisitions = 3
	// MaxRecordedAcquisitions is how many acquisitions are recorded (entries).
	MaxRecordedAcquisitions = 8
	// MinShardReturnDelay is the first wait before the home controller reclaims the shard. It
	// doubles with each further acquisition.
	MinShardReturnDelay = 5 * time.Second
	// MaxShardReturnDelay bounds this wait to a minute, in which a machine that was kept
	// waiting throughout would have been replaced.
	MaxShardReturnDelay = time.Minute
)
