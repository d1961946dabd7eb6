package statecache

import "time"

// TimestampReadsByResponse applies a mutation: the cache takes the result of a read to be current
// at the time when the response was received, instead of the time when the request was sent. The
// returned function undoes the mutation.
func TimestampReadsByResponse() (restore func()) {
	original := readTimestamp
	readTimestamp = func(_, receivedAt time.Time) time.Time { return receivedAt }
	return func() { readTimestamp = original }
}
