//go:build review

package main

import (
	"testing"

	"cherrywall/review/standin"
)

// No controller orders a start of a job's task once a user was told that the job is cancelled.
func TestNoStartIsOrderedAfterUserWasToldOfCancellation(t *testing.T) { standin.RunScript(t, "2") }
