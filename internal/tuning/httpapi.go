package tuning

import "time"

// The HTTP interface for users.
const (
	// RetryAfterSeconds is the value of the Retry-After header when a request cannot be served now.
	RetryAfterSeconds = 1
	// HealthGracePeriod is how long a controller that cannot reach the key-value store still
	// reports itself healthy. It outlasts a short outage, since leaving the load balancer and
	// returning would cost more than the outage.
	HealthGracePeriod = 5 * time.Second
	// IsolatedHealthGracePeriod is the shorter grace period of a controller that cannot reach the
	// store although a peer can. Several of the reads that the controller makes every second have
	// failed by then.
	IsolatedHealthGracePeriod = 2500 * time.Millisecond
	// MaxHealthStatusAge is the maximum age of the last published health status: several ticks. If
	// the status is older, for example because the process is paused, the controller counts as
	// unhealthy.
	MaxHealthStatusAge = 2 * time.Second
	// MaxWaitingPolls bounds the polls that wait for an answer at the same time. Further polls are
	// refused at once, so that a burst of polls leaves time for other requests. Polls that arrive
	// within one MinPollRevisionReadGap share one read: at 500 polls a second, 50 polls share a
	// read.
	MaxWaitingPolls = 96
	// ReadHeaderTimeout is how long the header of a request may take to arrive.
	ReadHeaderTimeout = 5 * time.Second
	// UserConnectionIdleTimeout is the time without requests after which a connection is closed.
	// Users poll every 5 s.
	UserConnectionIdleTimeout = 2 * time.Minute
	// MaxRequestBodyBytes is the limit of a request body, given by the protocol.
	MaxRequestBodyBytes = 64 << 10
)

// Final states and cancellations that user requests read or cause.
const (
	// MaxCachedFinalStates is the maximum number of cached final states.
	MaxCachedFinalStates = 4096
	// MaxConcurrentFinalStateReads is how many final states of jobs on which others depend are read
	// concurrently. Each job takes one request. The final states of 100 jobs that ended before a
	// controller was started are known within two seconds of its start.
	MaxConcurrentFinalStateReads = 8
	// FinalStateReadRetryInterval is the time after which a final state that did not exist or
	// could not be read is read again.
	FinalStateReadRetryInterval = 2 * time.Second
	// MaxConcurrentDependentCancellations is how many dependents of a cancelled job a
	// controller cancels concurrently. Each cancellation takes two changes in the key-value store.
	// Users are told that these jobs are cancelled as soon as the first job is, so the writes are
	// not urgent.
	MaxConcurrentDependentCancellations = 2
	// CancellationConfirmWait is the maximum time for which the response to a cancellation is
	// delayed so that this controller's workers can confirm that they have stopped the tasks that
	// had not begun: several times the duration of one exchange with a worker.
	CancellationConfirmWait = 300 * time.Millisecond
	// CancellationConfirmPollInterval is how often the controller checks whether its workers have
	// confirmed that they have stopped the tasks.
	CancellationConfirmPollInterval = 20 * time.Millisecond
	// CancellationAnnouncePeriod is how long a cancellation is announced to peers.
	CancellationAnnouncePeriod = 10 * time.Second
	// MaxAnnouncedCancellations is the maximum number of cancellations announced at a time.
	MaxAnnouncedCancellations = 64
)
