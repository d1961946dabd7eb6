package faultinjection

import (
	"slices"
	"strings"
	"testing"

	"cherrywall/internal/fake"
)

// FindsViolation reports whether one of the combined runs violates an invariant. It runs the scenarios of
// seedCount seeds, starting at 0. Only violations that begin with one of the prefixes count; if no prefix is
// given, all violations count. Tests of the invariant checker call FindsViolation with a mutation in effect,
// that is, with a deliberate fault that the checker must detect.
func FindsViolation(t *testing.T, seedCount uint64, prefixes ...string) bool {
	t.Helper()
	return FindsViolationWith(t, seedCount, func(*fake.Cluster) {}, prefixes...)
}

// FindsViolationWith is FindsViolation with a mutation of the cluster.
func FindsViolationWith(t *testing.T, seedCount uint64, mutate func(cluster *fake.Cluster), prefixes ...string) bool {
	t.Helper()
	return findsViolation(t, seedCount, nil, mutate, prefixes)
}

// FindsViolationOfKind is FindsViolationWith for runs whose combined faults are all of one kind.
func FindsViolationOfKind(t *testing.T, seedCount uint64, onlyKind FaultKind, mutate func(cluster *fake.Cluster), prefixes ...string) bool {
	t.Helper()
	return findsViolation(t, seedCount, &onlyKind, mutate, prefixes)
}

func findsViolation(t *testing.T, seedCount uint64, onlyKind *FaultKind, mutate func(cluster *fake.Cluster), prefixes []string) bool {
	t.Helper()
	for seed := range seedCount {
		for _, violation := range runCombined(t, seed, onlyKind, mutate) {
			if matchesPrefixFilter(violation, prefixes) {
				t.Logf("seed %d: %s", seed, violation)
				return true
			}
		}
	}
	return false
}

// matchesPrefixFilter reports whether a violation begins with one of the prefixes, or no prefixes are given.
func matchesPrefixFilter(violation string, prefixes []string) bool {
	return len(prefixes) == 0 || slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(violation, prefix) })
}
