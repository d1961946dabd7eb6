package kvstore

import (
	"errors"
	"fmt"
)

// The errors of the client say whether the request was executed; compare them with errors.Is.
var (
	// ErrUnavailable means that the request was certainly not executed.
	ErrUnavailable = errors.New("state service unavailable")

	// ErrOutcomeUnknown means that the request may have been executed, or may still be executed.
	ErrOutcomeUnknown = errors.New("state service: outcome unknown")

	// ErrRejected means that the request was not executed, because it is malformed or exceeds a
	// limit of the service. A retry of the same request would be rejected again.
	ErrRejected = errors.New("state service rejected the request")

	// ErrExpired means that a lease has expired, or that the revision from which a watch was
	// to resume is no longer available.
	ErrExpired = errors.New("state service: lease or revision expired")
)

// errRateLimited is returned for a request that exceeds the service's rate limits. It wraps
// ErrUnavailable.
var errRateLimited = fmt.Errorf("%w: rate limit exceeded", ErrUnavailable)
