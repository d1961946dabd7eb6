package faultinjection

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"cherrywall/internal/controller"
	"cherrywall/internal/jobs"
)

// Intervals and bounds of the checks that run once all faults are over.
const (
	recoveryCheckInterval = 5 * time.Second
	recoveryChecks        = 24
	answerChecks          = 15 // a poll of each job must be answered within this number of checks, 75 s
	maxWaitWithCapacity   = 90 * time.Second
	settleTime            = 80 * time.Second // from the recovery checks to the last polls
)

// checkResponse checks a controller's response about a job against the earlier responses to users: an
// accepted job is known, a final status does not change, a job is cancelled only if a user asked for it,
// dependents of a cancelled job are cancelled in time, and the tasks of a done job have run. request
// describes the request in the text of a violation.
func (r *FaultRun) checkResponse(ref, request string, response controller.Response) {
	previousStatus, status := r.lastStatus[ref], response.Status
	mustBeCancelledBy := r.mustBeCancelledBy[ref]
	switch {
	case previousStatus != "" && response.Code == http.StatusNotFound:
		r.reportViolation("forgotten: accepted job %s is not found", ref)
	case response.Code != http.StatusOK:
		return
	case isFinal(previousStatus) && status != previousStatus:
		r.reportViolation("went_back: %s was reported %s, then %s by %s", ref, previousStatus, status, request)
	case status == jobs.Cancelled && previousStatus != jobs.Cancelled && !r.isCancellationExpected(ref):
		r.reportViolation("went_back: %s was reported cancelled by %s, but nobody asked to cancel it", ref, request)
	case !mustBeCancelledBy.IsZero() && time.Now().After(mustBeCancelledBy) && status != jobs.Cancelled:
		r.reportViolation("orphaned: %s must be cancelled, but is reported %s by %s", ref, status, request)
	case status == jobs.Done && previousStatus != jobs.Done:
		r.checkTasksRan(ref)
	}
	if isFinal(status) {
		r.lastStatus[ref] = status
	}
	if status == jobs.Cancelled {
		r.recordConfirmedCancellation(ref)
		r.expectCancelled(ref)
	}
}

func isFinal(status jobs.Status) bool { return status == jobs.Done || status == jobs.Cancelled }

// checkTasksRan checks that all tasks of a done job were started. For a gang one started task is enough,
// since the first task of a gang that is done completes all its tasks, see fake.Cluster.
func (r *FaultRun) checkTasksRan(ref string) {
	ran, starts := 0, r.StartCounts()
	for i := range r.taskCounts[ref] {
		if starts[jobs.TaskName(ref, i)] > 0 {
			ran++
		}
	}
	if ran < r.taskCounts[ref] && !r.isGang[ref] || ran == 0 {
		r.reportViolation("not_done: %s is reported done, but %d of %d tasks ran", ref, ran, r.taskCounts[ref])
	}
}

// checkCancelResponse checks the response to a cancellation, which must be a final status or an error.
func (r *FaultRun) checkCancelResponse(ref string, response controller.Response) {
	if response.Code != http.StatusOK {
		return
	}
	r.checkResponse(ref, "cancellation", response)
	if !isFinal(response.Status) {
		r.reportViolation("withdrawn: a cancellation of %s was answered with status %s", ref, response.Status)
	}
}

// recordConfirmedCancellation records that a controller confirmed the cancellation of a job to a user, and
// schedules a check that none of the job's tasks runs just after the deadline.
func (r *FaultRun) recordConfirmedCancellation(ref string) {
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

// checkCancelledTasks checks that no task of a cancelled job runs after the deadline of the cancellation.
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
				r.reportViolation("ran_cancelled: %s/%d runs on %v", ref, i, hosts)
			}
		}
	}
}

// checkTaskStart checks that a task of a cancelled job does not start after the deadline, and that its start
// was not commanded after the confirmation of the cancellation. If the start was commanded before, an
// unreachable machine may still be fetching the image and start the task until the deadline.
func (r *FaultRun) checkTaskStart(task, host string, commandedAt time.Time) {
	ref, _, _ := jobs.ParseTaskName(task)
	r.mu.Lock()
	cancelled := r.cancellations[ref]
	r.mu.Unlock()
	switch {
	case cancelled.deadline.IsZero():
	case time.Now().After(cancelled.deadline):
		r.reportViolation("ran_cancelled: %s started on %s %v after the deadline", task, host, time.Since(cancelled.deadline))
	case commandedAt.After(cancelled.confirmedAt):
		r.reportViolation("started_cancelled: %s on %s, commanded %v after the cancellation",
			task, host, commandedAt.Sub(cancelled.confirmedAt))
	}
}

// Finish checks that the cluster recovers and that all accepted jobs end, and returns how many jobs ended.
// All faults must be over.
func (r *FaultRun) Finish() int {
	r.addMachines()
	r.checkRecovery()
	time.Sleep(settleTime)
	if r.CombineFaults {
		r.awaitLongTasks()
	}
	ended := 0
	for _, ref := range r.jobRefs {
		response := r.poll("n1", ref, "the last poll")
		if r.lastStatus[ref] == statusAccepted {
			r.reportViolation("%s has not ended: its last status is %s", ref, response.Status)
		} else if r.lastStatus[ref] != "" {
			ended++
		}
	}
	r.checkCancelledTasks()
	return ended
}

// addMachines replaces machines that were released because they missed heartbeats or were idle: there is no
// autoscaler here.
func (r *FaultRun) addMachines() {
	for i := range addedMachines {
		r.AddMachine(zones[i%len(zones)], false)
	}
}

// awaitLongTasks waits until no task has started for longer than the longest run time: some tasks run for
// minutes, one after another.
func (r *FaultRun) awaitLongTasks() {
	for previousStarts := -1; ; {
		starts := 0
		for _, count := range r.StartCounts() {
			starts += count
		}
		if starts == previousStarts {
			return
		}
		previousStarts = starts
		r.addMachines()
		time.Sleep(r.longestRunTime + time.Minute)
	}
}

// waitWithCapacity describes the wait of a job although there is capacity for it.
type waitWithCapacity struct {
	since  time.Time
	starts int // of the job's tasks, at that time
}

// checkRecovery checks, once all faults are over, that some controller answers a poll of each job within
// 75 s, and that no job waits for 90 s while its team's quota and the machines that it may use have capacity
// for it.
func (r *FaultRun) checkRecovery() {
	unanswered := slices.Clone(r.jobRefs)
	waits := map[string]waitWithCapacity{}
	for i := range recoveryChecks {
		time.Sleep(recoveryCheckInterval)
		if i < answerChecks {
			unanswered = slices.DeleteFunc(unanswered, r.isAnswered)
		}
		for _, ref := range r.jobRefs {
			r.checkWait(ref, waits)
		}
	}
	for _, ref := range unanswered {
		r.reportViolation("forgotten: no poll of %s was answered for 75 s", ref)
	}
}

// isAnswered polls a job at a random controller and reports whether the response is valid: a status, or "not
// found" for a job that was not accepted.
func (r *FaultRun) isAnswered(ref string) bool {
	response := r.poll(randomElement(r.rnd, controllerNames), ref, "a poll after the faults")
	return response.Code == http.StatusOK || response.Code == http.StatusNotFound && r.lastStatus[ref] == ""
}

// checkWait checks that a job does not wait for too long although there is capacity for it. waits has the
// waits that began in earlier checks, by job; the time begins again whenever a task of the job starts.
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
		r.reportViolation("left_waiting: %s waited for %v although there is capacity for it", ref, time.Since(wait.since))
		delete(waits, ref)
	}
}
