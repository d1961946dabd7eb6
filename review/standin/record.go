//go:build review

package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Recorder writes what was sent, answered and run, with the seconds since the start.
type Recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecorder creates the file.
func NewRecorder(path string) (*Recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Recorder{file: f, started: time.Now()}, nil
}

// Printf writes one line.
func (r *Recorder) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Elapsed returns the time since the start.
func (r *Recorder) Elapsed() time.Duration { return time.Since(r.started) }
