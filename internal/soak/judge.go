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

// judge finds violations of the rules of the protocol. It is safe for concurrent use.
type judge struct {
	cluster      *fake.Cluster
	history      *history
	beganAt      time.Time
	cancelWithin time.Duration

	mu         sync.Mutex
	events     []event // of the run, in their order
	violations []violation
	confirmed  map[string]time.Time // when a user was first told that a job is cancelled
	taskCounts map[string]int
}

// event is a line of what happened in a run.
type event struct {
	at   time.Duration
	text string
}

// violation is a broken rule.
type violation struct {
	at   time.Duration // when it was found
	text string
}

// eventsAround is how many events are printed before and after a violation.
const eventsAround = 12

func newJudge(cluster *fake.Cluster, cancelWithin time.Duration) *judge {
	return &judge{
		cluster:      cluster,
		history:      newHistory(),
		beganAt:      time.Now(),
		cancelWithin: cancelWithin,
		confirmed:    map[string]time.Time{},
		taskCounts:   map[string]int{},
	}
}

func (j *judge) now() time.Duration { return time.Since(j.beganAt) }

// note records an event.
func (j *judge) note(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, event{j.now(), fmt.Sprintf(format, args...)})
}

// report records a violation.
func (j *judge) report(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	j.note("VIOLATION %s", text)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violations = append(j.violations, violation{j.now(), text})
}

// submitted notes a job that a user is about to submit.
func (j *judge) submitted(spec jobs.Spec) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.taskCounts[spec.Ref] = spec.Tasks
}

// observe records an exchange, and checks what can be checked of it at once.
func (j *judge) observe(ref string, e exchange) {
	j.history.add(ref, e)
	if e.answer.code != 200 && e.answer.code != 201 {
		return
	}
	switch e.answer.status {
	case jobs.Done:
		if !j.cluster.IsComplete(ref) {
			j.report("not_done: %s is called done by %s, and not all of its tasks are", ref, e.node)
		}
	case jobs.Cancelled:
		j.cancellationConfirmed(ref)
	}
}

// cancellationConfirmed notes that a user was told that a job is cancelled.
func (j *judge) cancellationConfirmed(ref string) {
	j.mu.Lock()
	_, isKnown := j.confirmed[ref]
	if !isKnown {
		j.confirmed[ref] = time.Now()
	}
	j.mu.Unlock()
	if !isKnown {
		j.note("%s is confirmed as cancelled", ref)
	}
}

// checkCancelled checks that no task of a job is on a machine whose time for the cancellation is over.
func (j *judge) checkCancelled() {
	for ref, tasks := range j.overdueCancellations() {
		for i := range tasks {
			if hosts := j.cluster.RunningOn(jobs.TaskName(ref, i)); len(hosts) > 0 {
				j.report("ran_cancelled: %s on %v", jobs.TaskName(ref, i), hosts)
			}
		}
	}
}

// overdueCancellations returns the numbers of tasks of the jobs whose cancellation must have taken effect.
func (j *judge) overdueCancellations() map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	overdue := map[string]int{}
	for ref, at := range j.confirmed {
		if time.Since(at) > j.cancelWithin {
			overdue[ref] = j.taskCounts[ref]
		}
	}
	return overdue
}

// collect adds what the workers have observed since it was last called.
func (j *judge) collect(seen int) int {
	found := j.cluster.Violations()
	for _, text := range found[min(seen, len(found)):] {
		j.report("%s", text)
	}
	return len(found)
}

// checkHistories checks the answers about each job for linearizability, and those about jobs that nobody
// submitted. It returns how many histories could not be checked within checkLimit, which depends on the
// speed of the machine and so is no violation.
func (j *judge) checkHistories(refs, unknownRefs []string) (unchecked int) {
	for _, ref := range refs {
		switch checkJob(j.history.of(ref)) {
		case porcupine.Illegal:
			j.report("history: the answers about %s contradict each other: %s", ref, describe(j.history.of(ref)))
		case porcupine.Unknown:
			unchecked++
		case porcupine.Ok:
		}
	}
	for _, ref := range unknownRefs {
		for _, e := range j.history.of(ref) {
			if e.answer.code == 200 {
				j.report("invented: %s is called %s by %s", ref, e.answer.status, e.node)
			}
		}
	}
	return unchecked
}

func describe(exchanges []exchange) string {
	var lines []string
	for _, e := range exchanges {
		lines = append(lines, fmt.Sprintf("%.3f-%.3f %s at %s: %d %s", e.sent.Seconds(), e.answered.Seconds(), e.kind, e.node, e.answer.code, e.answer.status))
	}
	return strings.Join(lines, "; ")
}

// checkLogs looks for violations that the controllers have found themselves, and for crashes.
func (j *judge) checkLogs(paths []string) {
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			j.report("log: %v", err)
			continue
		}
		for line := range strings.Lines(string(raw)) {
			isViolation := strings.Contains(line, decisionlog.ViolationMessage)
			isCrash := strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:")
			if isViolation || isCrash {
				j.report("log %s: %s", path, strings.TrimSpace(line[:min(len(line), 400)]))
			}
		}
	}
}

// results returns the violations and the events round each of them.
func (j *judge) results() (violations []string, around []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	shown := map[int]bool{}
	for _, found := range j.violations {
		violations = append(violations, found.text)
		nearest, _ := slices.BinarySearchFunc(j.events, found.at, func(e event, at time.Duration) int { return int(e.at - at) })
		for i := max(0, nearest-eventsAround); i < min(len(j.events), nearest+eventsAround); i++ {
			if !shown[i] {
				shown[i] = true
				around = append(around, fmt.Sprintf("%8.3f s  %s", j.events[i].at.Seconds(), j.events[i].text))
			}
		}
	}
	return violations, around
}
