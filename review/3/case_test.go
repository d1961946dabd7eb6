//go:build review

package main

import (
	"testing"

	"cherrywall/review/standin"
)

// The tasks on a machine are few enough that its worker can report them.
func TestArrayOfTinyTasksCompletes(t *testing.T) { standin.RunScript(t, "3") }
