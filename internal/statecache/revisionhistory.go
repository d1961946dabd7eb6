package statecache

import (
	"time"

	"cherrywall/internal/tuning"
)

// revisionHistory remembers which revisions the store had reached at which times, and so bounds
// the age of a change from below.
type revisionHistory struct {
	maxAge  time.Duration    // older samples are dropped, except the newest of them
	samples []revisionSample // sorted by time
}

// revisionSample states that all changes up to revision were committed before at.
type revisionSample struct {
	revision uint64
	at       time.Time
}

// observe records that the store has reached a revision.
func (h *revisionHistory) observe(revision uint64, now time.Time) {
	if last := len(h.samples) - 1; last >= 0 && now.Sub(h.samples[last].at) < tuning.MinRevisionSampleInterval {
		return
	}
	h.samples = append(h.samples, revisionSample{revision, now})
	for len(h.samples) > 1 && now.Sub(h.samples[1].at) >= h.maxAge {
		h.samples = h.samples[1:]
	}
}

// isOlder reports whether the change with a revision was certainly committed at least minAge before
// now. minAge must not be greater than maxAge.
func (h *revisionHistory) isOlder(revision uint64, minAge time.Duration, now time.Time) bool {
	for _, sample := range h.samples {
		if now.Sub(sample.at) >= minAge && sample.revision >= revision {
			return true
		}
	}
	return false
}
