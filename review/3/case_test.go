//go:build review

package main

import (
	"testing"

	"cherrywall/review/standin"
)

// A machine's move to another controller that is carried out late leaves no task of a job behind.
func TestLateMoveLeavesNoTaskWaiting(t *testing.T) { standin.RunScript(t, "3") }
