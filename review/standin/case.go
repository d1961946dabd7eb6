//go:build review

package standin

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// RunCase runs a case: it opens record.txt in the folder that is the program's argument, makes a
// temporary folder, and calls play. A panic of a stand-in means that the case couldn't run.
func RunCase(play func(log *Recorder, dir string, trouble bool) int) (code int) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM FOLDER")
		return CannotRun
	}
	log, err := NewRecorder(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CannotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	defer func() {
		if p := recover(); p != nil {
			log.Printf("the case can't run: %v", p)
			code = CannotRun
		}
		log.Printf("exit code %d", code)
	}()
	return play(log, dir, os.Getenv("TROUBLE") != "0")
}

// WaitFor waits until a condition holds.
func WaitFor(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
