package tuning

import "time"

// Pipeline files.
const (
	// MaxPipelineFileBytes bounds the size of a file: 500 jobs take about 100 kB.
	MaxPipelineFileBytes = 256 << 10
	// MaxPipelineJobs is the maximum number of jobs in a file, including copies. The record of
	// their states must fit a value of the key-value store, at one byte for each job and a few
	// more for each job with several attempts.
	MaxPipelineJobs = 1000
	// MaxPipelineNodes bounds the number of YAML nodes of a file after aliases and extends are
	// expanded. A job has about 40 nodes, and is copied twice.
	MaxPipelineNodes = 400_000
	// MaxPipelineDepth bounds how deeply the nodes of a file may be nested.
	MaxPipelineDepth = 64
	// MaxPipelineRetries is the maximum number of retries of a job, whatever its class allows.
	MaxPipelineRetries = 10
	// MaxPipelineDuration is the longest duration that a file may specify.
	MaxPipelineDuration = 60 * 24 * time.Hour
)

// Runs of pipeline files.
const (
	// RunTickInterval is how often the jobs of runs are checked: half of the time that users
	// usually wait until a final state is reported.
	RunTickInterval = 250 * time.Millisecond
	// RunProgressWriteInterval is how often a run's record is updated with progress that the
	// records of the jobs show as well. Each update costs one change in the key-value store, and
	// saves reads if another controller takes over the run.
	RunProgressWriteInterval = 30 * time.Second
	// RunProgressWriteJobs is how many jobs must have made progress before an update of the run's
	// record with their progress is written.
	RunProgressWriteJobs = 20
	// RunWriteRetryDelay is the pause after a write whose precondition failed. In this time the
	// watch delivers the change that made the write fail.
	RunWriteRetryDelay = 2 * MinWatchRequestGap
	// MaxConcurrentRunRequests is how many jobs may be submitted or cancelled for runs at the same
	// time. The limit leaves capacity for the requests of users.
	MaxConcurrentRunRequests = 16
	// MaxCachedEndedRuns is the maximum number of ended runs that are cached; other ended runs are
	// read from the store.
	MaxCachedEndedRuns = 200
	// RunProgressReserveBytes is the space kept free in a run's record for the states of its
	// jobs, including the attempts and times of some of them.
	RunProgressReserveBytes = 2048
	// MaxRunNameBytes is the maximum length of the name of a run.
	MaxRunNameBytes = 200
	// MaxRunUpdateRetries is how many times a user's change of a run, a cancellation or a manual
	// start, is retried, once per MinWatchRequestGap, while the run's record cannot be written. The
	// retries take 2 s, the time after which users give up a poll.
	MaxRunUpdateRetries = 20
	// MaxPlanBytes bounds the size of an unpacked plan, about 500 bytes for each of
	// MaxPipelineJobs.
	MaxPlanBytes = 4 << 20
)

// The command line as a client.
const (
	// CLIRequestTimeout is the maximum duration of a request that the command line makes. A
	// controller answers or refuses within 5 s.
	CLIRequestTimeout = 10 * time.Second
	// CLIRetryTimeout is how long a request is repeated: as long as the platform's users repeat
	// a submission.
	CLIRetryTimeout = 60 * time.Second
	// MaxCLIRetryDelay is the longest pause that a controller may ask for between two attempts.
	MaxCLIRetryDelay = 30 * time.Second
	// CLIPollInterval is how often a command that waits polls the status.
	CLIPollInterval = time.Second
)
