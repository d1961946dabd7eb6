//go:build review

package review

import (
	"os/exec"
	"testing"
)

// The cases 5, 6 and 8 by their scripts. They need the build of the deploy file and review/build-2.sh.
func TestReviewCases5And6And8(t *testing.T) {
	for _, n := range []string{"5", "6", "8"} {
		t.Run(n, func(t *testing.T) {
			t.Parallel()
			if output, err := exec.Command("bash", n+"/run.sh").CombinedOutput(); err != nil {
				t.Fatalf("%v: see %s/record.txt %s", err, n, output)
			}
		})
	}
}
