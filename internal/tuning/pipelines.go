package tuning

import "time"

// Pipeline files.
const (
	// MaxPipelineFileBytes bounds a file: 500 jobs take some 100 kB.
	MaxPipelineFileBytes = 256 << 10
	// MaxPipelineJobs is how many jobs a file may have, copies counted. The record of their
	// states must fit a value of the key-value store, at a byte each and a few more for those
	// with several attempts.
	MaxPipelineJobs = 1000
	// MaxPipelineNodes bounds what aliases and extends expand to, in nodes of the file. A job
	// has some 40, and is copied twice.
	MaxPipelineNodes = 400_000
	// MaxPipelineDepth bounds how deep the nodes of a file may be nested.
	MaxPipelineDepth = 64
	// MaxPipelineRetries is how many times a job may be retried at most, whatever its class
	// allows.
	MaxPipelineRetries = 10
	// MaxPipelineDuration is the longest duration that a file may name.
	MaxPipelineDuration = 60 * 24 * time.Hour
)

// Runs of pipeline files.
const (
	// RunTickInterval is how often the jobs of runs are checked: half of what users wait for
	// the report of a final state.
	RunTickInterval = 250 * time.Millisecond
	// RunProgressWriteInterval is how often progress of a run is recorded that the jobs' own
	// records show as well: it spares the next leader reads, at one change each.
	RunProgressWriteInterval = 30 * time.Second
	// RunProgressWriteJobs is how many jobs must have made progress for it.
	RunProgressWriteJobs = 20
	// RunWriteRetryDelay is the pause after a write whose precondition failed: the watch
	// delivers meanwhile what has changed.
	RunWriteRetryDelay = 2 * MinWatchRequestGap
	// MaxConcurrentRunRequests is how many submissions and cancellations of runs are under way
	// at once: those of users must find room between them.
	MaxConcurrentRunRequests = 16
	// MaxCachedEndedRuns is how many ended runs are cached (entries); others are read.
	MaxCachedEndedRuns = 200
	// RunProgressReserveBytes is kept free in a run's record for the states of its jobs,
	// attempts and times of some of them included.
	RunProgressReserveBytes = 2048
	// MaxRunNameBytes is the longest name of a run.
	MaxRunNameBytes = 200
	// RunCancelAttempts is how many times a cancellation is attempted, at MinWatchRequestGap,
	// while the run's record changes concurrently: 2 s, as long as users wait for a poll.
	RunCancelAttempts = 20
	// MaxPlanBytes bounds an unpacked plan, some 500 bytes for each of MaxPipelineJobs.
	MaxPlanBytes = 4 << 20
)

// The command line as a client.
const (
	// CLIRequestTimeout ends a request of the command line. A controller answers or refuses
	// within 5 s.
	CLIRequestTimeout = 10 * time.Second
	// CLIRetryTimeout is how long a request is repeated: as long as the platform's users repeat
	// a submission.
	CLIRetryTimeout = 60 * time.Second
	// MaxCLIRetryDelay is the longest pause between two attempts that a controller may ask for.
	MaxCLIRetryDelay = 30 * time.Second
	// CLIPollInterval is how often a command that waits polls the status.
	CLIPollInterval = time.Second
)
