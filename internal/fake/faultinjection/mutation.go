package faultinjection

import (
	"slices"
	"strings"
	"testing"

	"cherrywall/internal/fake"
)

// FindsViolation reports whether one of the combined runs with the first seeds violates one of the
// invariants, any of them if none is given. Tests of the invariant checker call it with a mutation in
// effect. An invariant is given by a prefix of its violations.
func FindsViolation(t *testing.T, seeds uint64, rules ...string) bool {
	t.Helper()
	return FindsViolationWith(t, seeds, func(*fake.Cluster) {}, rules...)
}

// FindsViolationWith is FindsViolation for a mutation of the cluster.
func FindsViolationWith(t *testing.T, seeds uint64, mutate func(cluster *fake.Cluster), rules ...string) bool {
	t.Helper()
	return findsViolation(t, seeds, nil, mutate, rules)
}

// FindsViolationOf is FindsViolationWith for runs in which only faults of one kind are combined.
func FindsViolationOf(t *testing.T, seeds uint64, only FaultKind, mutate func(cluster *fake.Cluster), rules ...string) bool {
	t.Helper()
	return findsViolation(t, seeds, &only, mutate, rules)
}

func findsViolation(t *testing.T, seeds uint64, only *FaultKind, mutate func(cluster *fake.Cluster), rules []string) bool {
	t.Helper()
	for seed := range seeds {
		for _, violation := range runCombined(t, seed, only, mutate) {
			if isOf(violation, rules) {
				t.Logf("seed %d: %s", seed, violation)
				return true
			}
		}
	}
	return false
}

// isOf reports whether a violation has the prefix of one of the rules, or no rules are given.
func isOf(violation string, rules []string) bool {
	return len(rules) == 0 || slices.ContainsFunc(rules, func(rule string) bool { return strings.HasPrefix(violation, rule) })
}
