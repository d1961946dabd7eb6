package statecache

import "time"

// TimestampReadsByResponse is a mutation: the result of a read counts as current as of the moment at
// which the response was received, not as of the moment at which the request was sent. The returned
// function undoes the mutation.
func TimestampReadsByResponse() (restore func()) {
	original := readTimestamp
	readTimestamp = func(_, receivedAt time.Time) time.Time { return receivedAt }
	return func() { readTimestamp = original }
}
