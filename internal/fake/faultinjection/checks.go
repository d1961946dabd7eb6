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
	recoveryCheckCount    = 24
	answerCheckCount      = 15               // a poll of each job must be answered within this number of checks, which take 75 s
	maxWaitWithCapacity   = 90 * time.Second // how long a job may wait although there is capacity for it
	settleTime            = 80 * time.Second // time from the end of the recovery checks until the last polls
)

// checkResponse checks a controller's response about a job against the earlier responses to users: an
// accepted job is not forgotten, a final status does not change, a job is cancelled only if a user asked for it,
// dependents of a cancelled job are cancelled in time, and the tasks of a done job have run. description
// describes the request in the text of a violation.
func (r *FaultRun) checkResponse(ref, description string, response controller.Response) {
	previousStatus, status := r.lastStatus[ref], response.Status
	mustBeCancelledBy := r.mustBeCancelledBy[ref]
	switch {
	case previousStatus != "" && response.Code == http.StatusNotFound:
		r.reportViolation("forgotten: accepted job %s is not found", ref)
	case response.Code != http.StatusOK:
		return
	case isFinal(previousStatus) && status != previousStatus:
		r.reportViolation("went_back: %s was reported %s, then %s by %s", ref, previousStatus, status, description)
	case status == jobs.Cancelled && previousStatus != jobs.Cancelled && !r.isCancellationExpected(ref):
		r.reportViolation("went_back: %s was reported cancelled by %s, but nobody asked to cancel it", ref, description)
	case !mustBeCancelledBy.IsZero() && time.Now().After(mustBeCancelledBy) && status != jobs.Cancelled:
		r.reportViolation("orphaned: %s must be cancelled, but is reported %s by %s", ref, status, description)
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
// since fake.Cluster regards all tasks of a gang as done when the first of them is done.
func (r *FaultRun) checkTasksRan(ref string) {
	ranCount, startCounts := 0, r.StartCounts()
	for i := range r.taskCounts[ref] {
		if startCounts[jobs.TaskName(ref, i)] > 0 {
			ranCount++
		}
	}
	if ranCount < r.taskCounts[ref] && !r.isGang[ref] || ranCount == 0 {
		r.reportViolation("not_done: %s is reported done, but %d of %d tasks ran", ref, ranCount, r.taskCounts[ref])
	}
}

// checkCancelResponse checks the response to a cancellation request. The response must contain a final
// status or an error.
func (r *FaultRun) checkCancelResponse(ref string, response controller.Response) {
	if response.Code != http.StatusOK {
		return
	}
	r.checkResponse(ref, "cancellation", response)
	if !isFinal(response.Status) {
		r.reportViolation("withdrawn: a cancellation of %s was answered with status %s", ref, response.Status)
	}
}

// recordConfirmedCancellation records that a controller confirmed the cancellation of a job to a user. It
// schedules a check, a millisecond after the deadline of the cancellation, that none of the job's tasks runs.
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
	for ref, cancelRecord := range cancellations {
		if time.Now().Before(cancelRecord.deadline) {
			continue
		}
		for i := range cancelRecord.taskCount {
			if hosts := r.RunningOn(jobs.TaskName(ref, i)); len(hosts) > 0 {
				r.reportViolation("ran_cancelled: %s/%d runs on %v", ref, i, hosts)
			}
		}
	}
}

// checkTaskStart checks that a task of a cancelled job does not start after the deadline of the cancellation,
// and that its start was not commanded after the confirmation of the cancellation. If the start was commanded
// before the confirmation, an unreachable machine may still be fetching the image, and may start the task until
// the deadline.
func (r *FaultRun) checkTaskStart(task, host string, commandedAt time.Time) {
	ref, _, _ := jobs.ParseTaskName(task)
	r.mu.Lock()
	cancelRecord := r.cancellations[ref]
	r.mu.Unlock()
	switch {
	case cancelRecord.deadline.IsZero():
	case time.Now().After(cancelRecord.deadline):
		r.reportViolation("ran_cancelled: %s started on %s %v after the deadline", task, host, time.Since(cancelRecord.deadline))
	case commandedAt.After(cancelRecord.confirmedAt):
		r.reportViolation("started_cancelled: %s on %s, commanded %v after the cancellation",
			task, host, commandedAt.Sub(cancelRecord.confirmedAt))
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
	endedCount := 0
	for _, ref := range r.jobRefs {
		response := r.poll("n1", ref, "the last poll")
		if r.lastStatus[ref] == statusAccepted {
			r.reportViolation("%s has not ended: its last status is %s", ref, response.Status)
		} else if r.lastStatus[ref] != "" {
			endedCount++
		}
	}
	r.checkCancelledTasks()
	return endedCount
}

// addMachines adds machines in place of those that were released because they missed heartbeats or were idle.
// These runs have no autoscaler that would replace them.
func (r *FaultRun) addMachines() {
	for i := range addedMachineCount {
		r.AddMachine(zones[i%len(zones)], false)
	}
}

// awaitLongTasks waits until no task starts during a period that is longer than the longest run time. Some tasks
// run for minutes, one after another.
func (r *FaultRun) awaitLongTasks() {
	for previousStartCount := -1; ; {
		startCount := 0
		for _, count := range r.StartCounts() {
			startCount += count
		}
		if startCount == previousStartCount {
			return
		}
		previousStartCount = startCount
		r.addMachines()
		time.Sleep(r.longestRunTime + time.Minute)
	}
}

// waitWithCapacity is the wait of a job for which there is capacity.
type waitWithCapacity struct {
	since      time.Time
	startCount int // number of starts of the job's tasks before the wait began
}

// checkRecovery checks, once all faults are over, that some poll of each job is answered within 75 s, and that
// no job waits for 90 s while its team's quota and the machines that it may use have capacity
// for it.
func (r *FaultRun) checkRecovery() {
	unansweredRefs := slices.Clone(r.jobRefs)
	waits := map[string]waitWithCapacity{}
	for i := range recoveryCheckCount {
		time.Sleep(recoveryCheckInterval)
		if i < answerCheckCount {
			unansweredRefs = slices.DeleteFunc(unansweredRefs, r.isPollAnswered)
		}
		for _, ref := range r.jobRefs {
			r.checkWait(ref, waits)
		}
	}
	for _, ref := range unansweredRefs {
		r.reportViolation("forgotten: no poll of %s was answered for 75 s", ref)
	}
}

// isPollAnswered polls a job at a random controller and reports whether the response is valid: a status, or "not
// found" for a job that was not accepted.
func (r *FaultRun) isPollAnswered(ref string) bool {
	response := r.poll(randomElement(r.rnd, controllerNames), ref, "a poll after the faults")
	return response.Code == http.StatusOK || response.Code == http.StatusNotFound && r.lastStatus[ref] == ""
}

// checkWait checks that a job does not wait for too long although there is capacity for it. waits has the
// waits that began in earlier checks, by job. A job's wait begins anew whenever one of its tasks starts.
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
	case !isWaiting || wait.startCount != backlog.StartCount:
		waits[ref] = waitWithCapacity{since: time.Now(), startCount: backlog.StartCount}
	case time.Since(wait.since) >= maxWaitWithCapacity:
		r.reportViolation("left_waiting: %s waited for %v although there is capacity for it", ref, time.Since(wait.since))
		delete(waits, ref)
	}
}
