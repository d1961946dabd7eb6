package tuning

import "time"

// Connections to peers.
const (
	// PeerHeartbeatInterval is how often a controller sends its status to its peers.
	PeerHeartbeatInterval = 500 * time.Millisecond
	// PeerIdleTimeout ends a connection without messages: several heartbeats.
	PeerIdleTimeout = 4 * time.Second
	// PeerTimeout ends an attempt to connect or to write, and is the pause between two
	// attempts.
	PeerTimeout = time.Second
	// MaxPeerFrameBytes bounds a frame. A heartbeat has a few hundred bytes.
	MaxPeerFrameBytes = 64 << 10
	// MaxPeerHeartbeatShapes bounds the task shapes whose counts a heartbeat carries.
	MaxPeerHeartbeatShapes = 12
	// MaxPeerHeartbeatFaultyJobs is how many jobs at fault a heartbeat names at most: more than
	// a few at a time mean that it is not the jobs.
	MaxPeerHeartbeatFaultyJobs = 32
)

// The failure detector.
const (
	// MinSuspicionTimeout is the least time without a peer's heartbeat until the peer is
	// suspected: three are missing. Measured on lumenweg-ops-fleet at 9.6% of a core, no gap
	// was above 0.9 s except where a controller had ended.
	MinSuspicionTimeout = 1500 * time.Millisecond
	// HeartbeatGapWeight is the weight of a new gap between heartbeats in their mean.
	HeartbeatGapWeight = 0.05
	// HeartbeatGapDeviations is how many deviations above the mean a gap may be without
	// suspicion.
	HeartbeatGapDeviations = 8
	// MinHeartbeatGapSamples is after how many heartbeats the gaps of a peer are known.
	MinHeartbeatGapSamples = 4
	// SuspicionSuppressionPeriod is how long a controller that was paused, or lost the
	// key-value store, suspects nobody afterwards.
	SuspicionSuppressionPeriod = 3 * time.Second
	// OwnerActivityValidity is how long a record that only a shard's owner writes shows that
	// the owner is alive.
	OwnerActivityValidity = 1200 * time.Millisecond
)

// The transfer of shards between live controllers.
const (
	// MaxTransferChunkTasks is how many tasks, and machines counted as one each, a chunk of a
	// transfer describes: at some 110 bytes each it fits a frame beside a heartbeat.
	MaxTransferChunkTasks = 400
	// MaxPendingTransferChunks is how many chunks a shard may have, and may wait to be sent:
	// some 50,000 tasks, which take a tenth of a second of a core to write.
	MaxPendingTransferChunks = 128
	// TransferTimeout is how long an owner prepares a transfer, and how long, once it has sent
	// the shard, it waits for the acquisition before it reclaims the shard. Chunks take some
	// 100 ms.
	TransferTimeout = 2 * time.Second
	// TransferRequestTimeout is how long a controller that requests its home shard waits for
	// the transfer before it acquires the shard without. After a pause of seconds its link to
	// the owner is up again within two, and the owner serves the shard meanwhile.
	TransferRequestTimeout = 6 * time.Second
	// TransferRetryDelay is how long a shard whose transfer failed is not transferred again:
	// during each attempt its workers are not answered.
	TransferRetryDelay = 30 * time.Second
	// StrayWorkerFraction of a shard's workers, contacting its home controller within
	// StrayWorkerWindow though another controller owns it, show that they cannot reach the
	// owner.
	StrayWorkerFraction = 0.1
	// StrayWorkerWindow is one heartbeat interval.
	StrayWorkerWindow = 5 * time.Second
	// ShutdownTransferTimeout bounds the time in which a controller that shuts down transfers
	// its shards: they are requested within a heartbeat, and sent one after the other.
	ShutdownTransferTimeout = 4 * time.Second
	// ShutdownLastWriteTimeout is the time for its last write to the key-value store.
	ShutdownLastWriteTimeout = 250 * time.Millisecond
)

// The acquisition of shards.
const (
	// StartupGracePeriod is how long a controller that has just started does not acquire the
	// shards of others: when all start together the last was 1.5 s behind the first.
	StartupGracePeriod = 2 * time.Second
	// AcquisitionWindow is how far back acquisitions of a shard count.
	AcquisitionWindow = 2 * time.Minute
	// MaxUndelayedAcquisitions is how many acquisitions in that window have no consequence: a
	// crash and the return from it, twice. Beyond them the home controller waits before it
	// reclaims the shard from a live owner.
	MaxUndelayedAcquisitions = 3
	// MaxRecordedAcquisitions is how many acquisitions are recorded (entries).
	MaxRecordedAcquisitions = 8
	// MinShardReturnDelay is the first such wait, doubled with each further acquisition.
	MinShardReturnDelay = 5 * time.Second
	// MaxShardReturnDelay bounds it: a minute, in which a machine that was kept waiting all
	// along would have been replaced.
	MaxShardReturnDelay = time.Minute
)
