//go:build review

package main

import (
	"os/exec"
	"testing"
)

// The case needs the build of the deploy file and review/build-2.sh.
func TestReviewCase8(t *testing.T) {
	if output, err := exec.Command("bash", "run.sh").CombinedOutput(); err != nil {
		t.Fatalf("%v: see record.txt %s", err, output)
	}
}
