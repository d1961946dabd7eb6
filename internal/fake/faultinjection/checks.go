package faultinjection

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"cherrywall/internal/controller"
	"cherrywall/internal/jobs"
)

// Bounds of what must hold once all faults are over, and the times that the checks take.
const (
	recoveryCheckInterval = 5 * time.Second
	recoveryChecks        = 24
	answerChecks          = 15 // within so many checks, 75 s, a poll of each job must be answered
	maxWaitWithCapacity   = 90 * time.Second
	settleTime            = 80 * time.Second // after the checks, until the last polls
)

// checkAnswer checks a controller's answer about a job against what users were answered before: an
// accepted job is known, a final status stays, no job is cancelled that nobody asked to cancel,
// dependents of a cancelled job are cancelled in time, and the tasks of a done job have run. request
// names the request in the text of a violation.
func (r *FaultRun) checkAnswer(ref, request string, response controller.Response) {
	before, status := r.lastStatus[ref], response.Status
	mustBeCancelledBy := r.mustBeCancelledBy[ref]
	switch {
	case before != "" && response.Code == http.StatusNotFound:
		r.reportViolation("forgotten: %s", ref)
	case response.Code != http.StatusOK:
		return
	case isFinal(before) && status != before:
		r.reportViolation("went_back: %s called %s, then %s by %s", ref, before, status, request)
	case status == jobs.Cancelled && before != jobs.Cancelled && !r.isCancellationExpected(ref):
		r.reportViolation("went_back: %s was called cancelled by %s, and nobody asked for it", ref, request)
	case !mustBeCancelledBy.IsZero() && time.Now().After(mustBeCancelledBy) && status != jobs.Cancelled:
		r.reportViolation("orphaned: %s is called %s by %s", ref, status, request)
	case status == jobs.Done && before != jobs.Done:
		r.checkTasksRan(ref)
	}
	if isFinal(status) {
		r.lastStatus[ref] = status
	}
	if status == jobs.Cancelled {
		r.cancellationConfirmed(ref)
		r.expectCancelled(ref)
	}
}

func isFinal(status jobs.Status) bool { return status == jobs.Done || status == jobs.Cancelled }

// checkTasksRan checks that all tasks of a done job were started. Of a gang one is enough, since the
// first task of a gang that is done completes all of them, see fake.Cluster.
func (r *FaultRun) checkTasksRan(ref string) {
	ran, starts := 0, r.StartCounts()
	for i := range r.taskCounts[ref] {
		if starts[jobs.TaskName(ref, i)] > 0 {
			ran++
		}
	}
	if ran < r.taskCounts[ref] && !r.isGang[ref] || ran == 0 {
		r.reportViolation("not_done: %s, of which %d of %d tasks ran", ref, ran, r.taskCounts[ref])
	}
}

// checkCancelAnswer checks the answer to a cancellation, which must be a final status or an error.
func (r *FaultRun) checkCancelAnswer(ref string, response controller.Response) {
	if response.Code != http.StatusOK {
		return
	}
	r.checkAnswer(ref, "cancellation", response)
	if !isFinal(response.Status) {
		r.reportViolation("withdrawn: %s is called %s", ref, response.Status)
	}
}

// cancellationConfirmed notes that a user was answered that a job is cancelled, and checks just after
// the deadline that none of its tasks runs.
func (r *FaultRun) cancellationConfirmed(ref string) {
	timeout := r.cancelTimeout()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancellations[ref].deadline.IsZero() {
		r.cancellations[ref] = cancellation{
			confirmedAt: time.Now(),
			deadline:    time.Now().Add(timeout),
			taskCount:   r.taskCounts[ref],
		}
		time.AfterFunc(timeout+time.Millisecond, r.checkCancelledTasks)
	}
}

// checkCancelledTasks checks that no task of a cancelled job runs after its deadline.
func (r *FaultRun) checkCancelledTasks() {
	r.mu.Lock()
	cancellations := maps.Clone(r.cancellations)
	r.mu.Unlock()
	for ref, cancelled := range cancellations {
		if time.Now().Before(cancelled.deadline) {
			continue
		}
		for i := range cancelled.taskCount {
			if hosts := r.RunningOn(jobs.TaskName(ref, i)); len(hosts) > 0 {
				r.reportViolation("ran_cancelled: %s/%d on %v", ref, i, hosts)
			}
		}
	}
}

// checkTaskStart checks that the cancellation of a job allows a task of it to start now: not after the
// deadline, and not if the start was commanded after the confirmation. A task that was commanded before
// may still fetch its image on an unreachable machine, and start.
func (r *FaultRun) checkTaskStart(task, host string, commandedAt time.Time) {
	ref, _, _ := jobs.ParseTask(task)
	r.mu.Lock()
	cancelled := r.cancellations[ref]
	r.mu.Unlock()
	switch {
	case cancelled.deadline.IsZero():
	case time.Now().After(cancelled.deadline):
		r.reportViolation("ran_cancelled: %s starts on %s %v late", task, host, time.Since(cancelled.deadline))
	case commandedAt.After(cancelled.confirmedAt):
		r.reportViolation("started_cancelled: %s on %s, commanded %v after the cancellation",
			task, host, commandedAt.Sub(cancelled.confirmedAt))
	}
}

// Finish checks that the cluster recovers and that all accepted jobs end, and returns how many did. All
// faults must be over.
func (r *FaultRun) Finish() int {
	r.addMachines()
	r.checkRecovery()
	time.Sleep(settleTime)
	if r.CombineFaults {
		r.awaitLongTasks()
	}
	ended := 0
	for _, ref := range r.refs {
		response := r.poll("n1", ref, "the last poll")
		if r.lastStatus[ref] == statusAccepted {
			r.reportViolation("%s is %s after all", ref, response.Status)
		} else if r.lastStatus[ref] != "" {
			ended++
		}
	}
	r.checkCancelledTasks()
	return ended
}

// addMachines replaces machines that were released for missed heartbeats or for being idle: there is no
// autoscaler here.
func (r *FaultRun) addMachines() {
	for i := range addedMachines {
		r.AddMachine(zones[i%len(zones)], false)
	}
}

// awaitLongTasks waits until no task was started for longer than the longest run time: some run for
// minutes, one after another.
func (r *FaultRun) awaitLongTasks() {
	for before := -1; ; {
		starts := 0
		for _, count := range r.StartCounts() {
			starts += count
		}
		if starts == before {
			return
		}
		before = starts
		r.addMachines()
		time.Sleep(r.longestRunTime + time.Minute)
	}
}

// waitWithCapacity is a job that waits though there is capacity for it.
type waitWithCapacity struct {
	since  time.Time
	starts int // of its tasks, at that time
}

// checkRecovery checks, once all faults are over, that a poll of each job is answered within 75 s by
// whichever controller, and that no job waits for 90 s while its team's quota and the machines that it
// may use have capacity for it.
func (r *FaultRun) checkRecovery() {
	unanswered := slices.Clone(r.refs)
	waits := map[string]waitWithCapacity{}
	for i := range recoveryChecks {
		time.Sleep(recoveryCheckInterval)
		if i < answerChecks {
			unanswered = slices.DeleteFunc(unanswered, r.isAnswered)
		}
		for _, ref := range r.refs {
			r.checkWait(ref, waits)
		}
	}
	for _, ref := range unanswered {
		r.reportViolation("forgotten: no question about %s was answered for 75 s", ref)
	}
}

// isAnswered polls a job at a random controller and reports whether the answer is valid: a status, or
// that there is no such job if it was not accepted.
func (r *FaultRun) isAnswered(ref string) bool {
	response := r.poll(anyOf(r.rnd, controllerNames), ref, "a poll after the faults")
	return response.Code == http.StatusOK || response.Code == http.StatusNotFound && r.lastStatus[ref] == ""
}

// checkWait checks that a job does not wait for too long though there is capacity for it. waits has
// the jobs for which that began in an earlier check; each start of a task begins it anew.
func (r *FaultRun) checkWait(ref string, waits map[string]waitWithCapacity) {
	if r.lastStatus[ref] != statusAccepted || r.isCancellationExpected(ref) || r.waitsForDependency(ref) {
		delete(waits, ref)
		return
	}
	backlog := r.Backlog(ref)
	if !backlog.HasCapacity {
		delete(waits, ref)
		return
	}
	wait, isWaiting := waits[ref]
	switch {
	case !isWaiting || wait.starts != backlog.Starts:
		waits[ref] = waitWithCapacity{since: time.Now(), starts: backlog.Starts}
	case time.Since(wait.since) >= maxWaitWithCapacity:
		r.reportViolation("left_waiting: %s for %v, with capacity for it", ref, time.Since(wait.since))
		delete(waits, ref)
	}
}
