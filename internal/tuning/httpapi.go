package tuning

import "time"

// The HTTP interface for users.
const (
	// RetryAfterSeconds (s) is the value of the Retry-After header when a request cannot be
	// served now.
	RetryAfterSeconds = 1
	// HealthGracePeriod is how long a controller that cannot reach the key-value store still
	// reports itself healthy: leaving the load balancer and returning costs more than a short
	// outage.
	HealthGracePeriod = 5 * time.Second
	// IsolatedHealthGracePeriod replaces HealthGracePeriod while a peer still reaches the
	// store. By then several of the reads that are made each second have failed.
	IsolatedHealthGracePeriod = 2500 * time.Millisecond
	// MaxHealthStatusAge is the maximum age of the health status that the actor last
	// published: several ticks.
	MaxHealthStatusAge = 2 * time.Second
	// MaxWaitingPolls bounds the polls that wait for an answer at the same time. Further polls
	// are refused at once, so that a burst of polls leaves time for other requests. At 500
	// polls a second, all polls in each MinPollRevisionReadGap share one read.
	MaxWaitingPolls = 96
	// ReadHeaderTimeout ends a request whose header does not arrive.
	ReadHeaderTimeout = 5 * time.Second
	// UserConnectionIdleTimeout ends a connection without requests. Users poll every 5 s.
	UserConnectionIdleTimeout = 2 * time.Minute
	// MaxRequestBodyBytes is the limit of a request body, given by the protocol.
	MaxRequestBodyBytes = 64 << 10
)

// Final states and cancellations behind user requests.
const (
	// MaxCachedFinalStates is how many final states are cached (entries).
	MaxCachedFinalStates = 4096
	// MaxConcurrentFinalStateReads is how many final states of awaited jobs are read
	// concurrently. Each job takes one request: the final states of 100 jobs that ended before
	// a controller's start are known within two seconds.
	MaxConcurrentFinalStateReads = 8
	// FinalStateReadRetryInterval is the time after which a final state that did not exist or
	// could not be read is read again.
	FinalStateReadRetryInterval = 2 * time.Second
	// MaxConcurrentDependentCancellations is how many dependents of a cancelled job a
	// controller cancels concurrently, at two changes each. Users are told that these jobs are
	// cancelled as soon as the first job is, so the writes are not urgent.
	MaxConcurrentDependentCancellations = 2
	// CancellationConfirmWait is the maximum time for which the response to a cancellation
	// waits for this controller's workers to acknowledge that tasks which have not begun are
	// stopped: several times the duration of one exchange.
	CancellationConfirmWait = 300 * time.Millisecond
	// CancellationConfirmPollInterval is how often the controller checks for these
	// acknowledgements.
	CancellationConfirmPollInterval = 20 * time.Millisecond
	// CancellationAnnouncePeriod is how long a cancellation is announced to peers.
	CancellationAnnouncePeriod = 10 * time.Second
	// MaxAnnouncedCancellations is the maximum number of cancellations announced at a time
	// (entries).
	MaxAnnouncedCancellations = 64
)
