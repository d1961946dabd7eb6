//go:build review

package standin

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// RunScript builds the deployment and the cases and runs the script of a case. The test fails if the
// script finds the rule broken, or can't run.
func RunScript(t *testing.T, number string) {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range [][]string{{"go", "build", "-ldflags=-linkmode=external", "-o", "target/cherrywall", "./cmd/cherrywall"}, {"sh", "review/build.sh"}} {
		build := exec.Command(line[0], line[1:]...)
		build.Dir = root
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("%v: %v\n%s", line, err, out)
		}
	}
	script := exec.Command("sh", filepath.Join(root, "review", number, "run.sh"))
	script.Stdout, script.Stderr = os.Stdout, os.Stderr
	err = script.Run()
	var exit *exec.ExitError
	switch {
	case err == nil:
	case errors.As(err, &exit) && exit.ExitCode() == Broken:
		t.Errorf("the rule was broken; see review/%s/record.txt", number)
	default:
		t.Fatalf("the case couldn't run: %v; see review/%s/record.txt", err, number)
	}
}
