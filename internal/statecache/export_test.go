package statecache

import "time"

// TimestampReadsByResponse is a mutation: reads count as of the moment at which the response
// was received, not of the one at which the request was sent. The returned function undoes it.
func TimestampReadsByResponse() (restore func()) {
	original := readTimestamp
	readTimestamp = func(_, receivedAt time.Time) time.Time { return receivedAt }
	return func() { readTimestamp = original }
}
