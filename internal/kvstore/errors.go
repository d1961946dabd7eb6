package kvstore

import (
	"errors"
	"fmt"
)

// The errors of the client say whether the request was executed; compare them with errors.Is.
var (
	// ErrUnavailable means that the request was certainly not executed.
	ErrUnavailable = errors.New("state service unavailable")

	// ErrOutcomeUnknown means that the request may have been executed, or may yet be.
	ErrOutcomeUnknown = errors.New("state service: outcome unknown")

	// ErrRejected means that the request was not executed and never will be as it is: it is
	// malformed or beyond a limit of the service. Retrying it is of no use.
	ErrRejected = errors.New("state service refused")

	// ErrExpired means that a lease has expired, or that the revision from which a watch was
	// to resume is no longer available.
	ErrExpired = errors.New("state service: gone")
)

// errRateLimited is the ErrUnavailable of a request beyond the service's rate limits.
var errRateLimited = fmt.Errorf("%w: over its limits", ErrUnavailable)
