package tuning

import "time"

// The HTTP interface for users.
const (
	// RetryAfterSeconds (s) is the Retry-After header of a request that cannot be served now.
	RetryAfterSeconds = 1
	// HealthGracePeriod is how long a controller without the key-value store still calls itself
	// healthy: leaving the load balancer and returning costs more than a short outage.
	HealthGracePeriod = 5 * time.Second
	// IsolatedHealthGracePeriod replaces it while a peer still reaches the store: several of
	// the reads made each second have failed by then.
	IsolatedHealthGracePeriod = 2500 * time.Millisecond
	// MaxHealthStatusAge is how old the actor's health status may be: several ticks.
	MaxHealthStatusAge = 2 * time.Second
	// MaxWaitingPolls bounds the polls that wait for an answer. Those above are refused at
	// once, so that a burst of them leaves time for everything else; 500 a second share one
	// read in each MinPollRevisionReadGap.
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
	// MaxConcurrentFinalStateReads is how many final states of awaited jobs are read at once. A
	// job takes one request: 100 jobs that ended before a start are known within two seconds.
	MaxConcurrentFinalStateReads = 8
	// FinalStateReadRetryInterval is when a final state is read again that did not exist or
	// could not be read.
	FinalStateReadRetryInterval = 2 * time.Second
	// MaxConcurrentDependentCancellations is how many dependents of a cancelled job a
	// controller cancels at once, at two changes each. Their users are answered by what follows
	// from the cancellation, so there is no haste.
	MaxConcurrentDependentCancellations = 2
	// CancellationConfirmWait is how long the answer to a cancellation waits for this
	// controller's workers to acknowledge the stop of tasks that have not begun: several times
	// one exchange.
	CancellationConfirmWait = 300 * time.Millisecond
	// CancellationConfirmPollInterval is how often that is checked.
	CancellationConfirmPollInterval = 20 * time.Millisecond
	// CancellationAnnouncePeriod is how long a cancellation is announced to peers.
	CancellationAnnouncePeriod = 10 * time.Second
	// MaxAnnouncedCancellations is how many are announced at once (entries).
	MaxAnnouncedCancellations = 64
)
