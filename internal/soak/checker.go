package soak

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"cherrywall/internal/decisionlog"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"

	"github.com/anishathalye/porcupine"
)

// checker finds violations of the rules of the protocol, and records the events of the run. It is safe for
// concurrent use.
type checker struct {
	cluster       *fake.Cluster
	history       *history
	startedAt     time.Time
	cancelTimeout time.Duration // maximum time from the confirmation of a cancellation until no task of the job runs

	mu                sync.Mutex
	events            []event // in order of time
	violations        []violation
	cancelConfirmedAt map[string]time.Time // when a user was first told that the job is cancelled, by job
	taskCounts        map[string]int       // number of tasks, by job
}

// event is something that happened in a run, as one line of text.
type event struct {
	at   time.Duration // time since the start of the run
	text string
}

// violation is a broken rule.
type violation struct {
	at   time.Duration // time of its detection, since the start of the run
	text string
}

// nearbyEventCount is how many events are printed before each violation, and how many after it.
const nearbyEventCount = 12

func newChecker(cluster *fake.Cluster, cancelTimeout time.Duration) *checker {
	return &checker{
		cluster:           cluster,
		history:           newHistory(),
		startedAt:         time.Now(),
		cancelTimeout:     cancelTimeout,
		cancelConfirmedAt: map[string]time.Time{},
		taskCounts:        map[string]int{},
	}
}

// elapsed returns the time since the start of the run.
func (c *checker) elapsed() time.Duration { return time.Since(c.startedAt) }

// recordEvent records an event.
func (c *checker) recordEvent(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, event{c.elapsed(), fmt.Sprintf(format, args...)})
}

// recordViolation records a violation.
func (c *checker) recordViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.recordEvent("VIOLATION %s", text)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, violation{c.elapsed(), text})
}

// recordSubmission records a job that a user is about to submit.
func (c *checker) recordSubmission(spec jobs.Spec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taskCounts[spec.Ref] = spec.Tasks
}

// recordExchange records an exchange and checks its response: a job that is reported as done must be complete,
// and a job that is reported as cancelled must stop in time.
func (c *checker) recordExchange(ref string, e exchange) {
	c.history.add(ref, e)
	if e.response.statusCode != 200 && e.response.statusCode != 201 {
		return
	}
	switch e.response.jobStatus {
	case jobs.Done:
		if !c.cluster.IsComplete(ref) {
			c.recordViolation("not_done: %s is reported as done by %s, but not all of its tasks are done", ref, e.node)
		}
	case jobs.Cancelled:
		c.recordCancellation(ref)
	}
}

// recordCancellation records that a user was told that a job is cancelled. Later calls for the same job do
// nothing.
func (c *checker) recordCancellation(ref string) {
	c.mu.Lock()
	_, isKnown := c.cancelConfirmedAt[ref]
	if !isKnown {
		c.cancelConfirmedAt[ref] = time.Now()
	}
	c.mu.Unlock()
	if !isKnown {
		c.recordEvent("%s is confirmed as cancelled", ref)
	}
}

// checkCancelledJobs checks that no task of a cancelled job runs on a machine after cancelTimeout.
func (c *checker) checkCancelledJobs() {
	for ref, tasks := range c.overdueCancellations() {
		for i := range tasks {
			if hosts := c.cluster.RunningOn(jobs.TaskName(ref, i)); len(hosts) > 0 {
				c.recordViolation("ran_cancelled: %s on %v", jobs.TaskName(ref, i), hosts)
			}
		}
	}
}

// overdueCancellations returns the jobs that were reported as cancelled more than cancelTimeout ago, with the
// number of tasks of each.
func (c *checker) overdueCancellations() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	taskCounts := map[string]int{}
	for ref, at := range c.cancelConfirmedAt {
		if time.Since(at) > c.cancelTimeout {
			taskCounts[ref] = c.taskCounts[ref]
		}
	}
	return taskCounts
}

// collectViolations records the violations that the workers have observed, except the first recordedCount, which
// earlier calls have recorded. It returns the number of all violations that the workers have observed; the caller
// passes it to the next call.
func (c *checker) collectViolations(recordedCount int) int {
	texts := c.cluster.Violations()
	for _, text := range texts[min(recordedCount, len(texts)):] {
		c.recordViolation("%s", text)
	}
	return len(texts)
}

// checkHistories checks the history of each job in refs for linearizability. It also checks that no controller
// reported a status of a job in unknownRefs, because these jobs were never submitted. It returns the number of
// histories that could not be checked within historyCheckTimeout. Unchecked histories are not violations, since
// their number depends on the speed of the machine.
func (c *checker) checkHistories(refs, unknownRefs []string) (uncheckedCount int) {
	for _, ref := range refs {
		switch checkHistory(c.history.exchangesFor(ref)) {
		case porcupine.Illegal:
			c.recordViolation("history: the answers about %s contradict each other: %s", ref, formatExchanges(c.history.exchangesFor(ref)))
		case porcupine.Unknown:
			uncheckedCount++
		case porcupine.Ok:
		}
	}
	for _, ref := range unknownRefs {
		for _, e := range c.history.exchangesFor(ref) {
			if e.response.statusCode == 200 {
				c.recordViolation("invented: %s was never submitted, but is reported as %s by %s", ref, e.response.jobStatus, e.node)
			}
		}
	}
	return uncheckedCount
}

// formatExchanges returns the exchanges as one line, with their times in seconds since the start of the run.
func formatExchanges(exchanges []exchange) string {
	var lines []string
	for _, e := range exchanges {
		lines = append(lines, fmt.Sprintf("%.3f-%.3f %s at %s: %d %s", e.sentAt.Seconds(), e.endedAt.Seconds(), e.kind, e.node, e.response.statusCode, e.response.jobStatus))
	}
	return strings.Join(lines, "; ")
}

// checkLogs searches the controllers' logs for violations that the controllers have found themselves, and for
// crashes.
func (c *checker) checkLogs(paths []string) {
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			c.recordViolation("log: %v", err)
			continue
		}
		for line := range strings.Lines(string(raw)) {
			isViolation := strings.Contains(line, decisionlog.ViolationMessage)
			isCrash := strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:")
			if isViolation || isCrash {
				c.recordViolation("log %s: %s", path, strings.TrimSpace(line[:min(len(line), 400)]))
			}
		}
	}
}

// results returns the violations, and the events before and after each of them.
func (c *checker) results() (violations []string, nearbyEvents []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isShown := map[int]bool{}
	for _, violation := range c.violations {
		violations = append(violations, violation.text)
		nearest, _ := slices.BinarySearchFunc(c.events, violation.at, func(e event, at time.Duration) int { return int(e.at - at) })
		for i := max(0, nearest-nearbyEventCount); i < min(len(c.events), nearest+nearbyEventCount); i++ {
			if !isShown[i] {
				isShown[i] = true
				nearbyEvents = append(nearbyEvents, fmt.Sprintf("%8.3f s  %s", c.events[i].at.Seconds(), c.events[i].text))
			}
		}
	}
	return violations, nearbyEvents
}
