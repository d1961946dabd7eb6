// Package faultattribution decides who is at fault when tasks fail: the machine, which may fail
// every task, or the job, which may fail on every machine. It decides by comparison: a job that
// has succeeded anywhere is evidence against the machines on which it fails, and a machine that
// is not suspected itself is evidence against the jobs that fail there.
package faultattribution

import (
	"time"

	"cherrywall/internal/tuning"
)

// maxBackoffShift limits how often the pause of a faulty job is doubled, before its upper bound
// is applied.
const maxBackoffShift = 10

// Thresholds are the operators' settings.
type Thresholds struct {
	// MachineFailures is how many failures of a single job are sufficient evidence against a
	// machine. Failures of two jobs always are.
	MachineFailures int
	// JobMachines is on how many machines a job must fail before it is at fault.
	JobMachines int
}

// Attributor keeps the evidence. It is not safe for concurrent use: one actor owns it.
type Attributor struct {
	jobs     map[string]*jobEvidence
	machines map[string]*machineEvidence
}

type jobEvidence struct {
	// hasSucceeded is set once a task was done, or ran far longer than the failing ones.
	hasSucceeded bool
	// failuresByMachine and failureCount start anew when the job is found at fault.
	failuresByMachine map[string]int
	failureCount      int
	longestFailure    time.Duration // the longest time that a failing task ran
	pauseCount        int           // pauses in a row; 0: not at fault
	pausedUntil       time.Time
}

type machineEvidence struct {
	failuresByJob  map[string]int // since a task was last done on the machine
	suspectedUntil time.Time      // the machine gets no tasks until then
	isFaulty       bool
}

// Attribution is what a failure shows. The zero value finds nobody at fault.
type Attribution struct {
	// JobPause is how long the job has to wait since it is found at fault; 0 if it is not.
	JobPause time.Duration
	// MachineFaulty is set when the machine is found at fault.
	MachineFaulty bool
}

// New returns an attributor without evidence.
func New() *Attributor {
	return &Attributor{jobs: map[string]*jobEvidence{}, machines: map[string]*machineEvidence{}}
}

func (a *Attributor) jobEvidenceOf(ref string) *jobEvidence {
	job := a.jobs[ref]
	if job == nil {
		job = &jobEvidence{failuresByMachine: map[string]int{}}
		a.jobs[ref] = job
	}
	return job
}

func (a *Attributor) machineEvidenceOf(host string) *machineEvidence {
	machine := a.machines[host]
	if machine == nil {
		machine = &machineEvidence{failuresByJob: map[string]int{}}
		a.machines[host] = machine
	}
	return machine
}

// RecordFailure notes that a job's task failed on a machine after it ran for some time, and returns
// whether that shows the job or the machine to be at fault.
func (a *Attributor) RecordFailure(ref, host string, ran time.Duration, now time.Time, thresholds Thresholds) Attribution {
	job, machine := a.jobEvidenceOf(ref), a.machineEvidenceOf(host)
	machine.failuresByJob[ref]++
	job.longestFailure = max(job.longestFailure, ran)
	if now.Before(job.pausedUntil) {
		return Attribution{} // the task was started before the job was paused: no new evidence
	}
	job.failuresByMachine[host]++
	job.failureCount++
	if a.isJobAtFault(job, thresholds) {
		return Attribution{JobPause: a.pauseJob(ref, job, now)}
	}
	if a.attributeToMachine(machine, thresholds) {
		return Attribution{MachineFaulty: true}
	}
	if a.credibleEvidence(machine).isSufficient(thresholds) {
		machine.suspectedUntil = now.Add(tuning.SuspectMachinePause)
	}
	return Attribution{}
}

// isJobAtFault reports whether the failures of a job that has never succeeded are its own fault.
// After the first pause a single failing trial is enough for the next, longer one.
func (a *Attributor) isJobAtFault(job *jobEvidence, thresholds Thresholds) bool {
	if job.hasSucceeded {
		return false
	}
	return job.pauseCount > 0 ||
		a.countWitnesses(job) >= thresholds.JobMachines ||
		job.failureCount >= thresholds.JobMachines*tuning.JobFaultFailureFactor
}

// pauseJob starts the next pause of a job at fault. Its failures are no evidence against
// machines any more.
func (a *Attributor) pauseJob(ref string, job *jobEvidence, now time.Time) time.Duration {
	pause := min(tuning.MinJobBackoff<<min(job.pauseCount, maxBackoffShift), tuning.MaxJobBackoff)
	job.pauseCount++
	job.pausedUntil = now.Add(pause)
	job.failuresByMachine, job.failureCount = map[string]int{}, 0
	for _, machine := range a.machines {
		delete(machine.failuresByJob, ref)
	}
	return pause
}

// countWitnesses returns how many machines are evidence against a job: those on which it failed,
// which are not faulty and on which at most one credible job failed.
func (a *Attributor) countWitnesses(job *jobEvidence) int {
	count := 0
	for host := range job.failuresByMachine {
		machine := a.machineEvidenceOf(host)
		if !machine.isFaulty && a.credibleEvidence(machine).jobs < 2 {
			count++
		}
	}
	return count
}

// evidenceSummary sums up the evidence against a machine that counts.
type evidenceSummary struct {
	jobs      int // that failed on it
	failures  int // of those jobs
	succeeded int // of the jobs, those that have succeeded somewhere
}

// isSufficient reports whether the evidence is enough to suspect the machine.
func (e evidenceSummary) isSufficient(thresholds Thresholds) bool {
	return e.jobs > 1 || e.failures >= thresholds.MachineFailures
}

// credibleEvidence sums up the failures on a machine of jobs that have succeeded somewhere, and of
// jobs that have failed only there. A job that has failed on other machines too, or was paused, and
// has not succeeded is no evidence.
func (a *Attributor) credibleEvidence(machine *machineEvidence) evidenceSummary {
	var evidence evidenceSummary
	for ref, failures := range machine.failuresByJob {
		job := a.jobs[ref]
		if job == nil {
			continue
		}
		failedOnlyHere := len(job.failuresByMachine) == 1 && job.pauseCount == 0
		if !job.hasSucceeded && !failedOnlyHere {
			continue
		}
		evidence.jobs++
		evidence.failures += failures
		if job.hasSucceeded {
			evidence.succeeded++
		}
	}
	return evidence
}

// attributeToMachine marks a machine as faulty if the evidence suffices, and reports whether it has
// done so; a machine that was marked before is not reported again. Faulty jobs that happen
// to meet on it must not suffice, however many they are: one of the jobs must have succeeded
// elsewhere.
func (a *Attributor) attributeToMachine(machine *machineEvidence, thresholds Thresholds) bool {
	if machine.isFaulty {
		return false
	}
	evidence := a.credibleEvidence(machine)
	machine.isFaulty = evidence.succeeded > 0 && evidence.isSufficient(thresholds)
	return machine.isFaulty
}

// RecordSuccess notes that a job's task was done, or runs well, on a machine. It returns the
// machines that this shows to be at fault for the job's earlier failures.
func (a *Attributor) RecordSuccess(ref, host string, thresholds Thresholds) (faulty []string) {
	if machine := a.machines[host]; machine != nil {
		clear(machine.failuresByJob)
		machine.suspectedUntil = time.Time{}
	}
	job := a.jobs[ref]
	if job == nil {
		return nil // most jobs never fail: nothing is remembered of them
	}
	job.pausedUntil, job.pauseCount, job.failureCount = time.Time{}, 0, 0
	delete(job.failuresByMachine, host)
	if job.hasSucceeded {
		return nil
	}
	job.hasSucceeded = true
	for other := range job.failuresByMachine {
		if machine := a.machines[other]; machine != nil && a.attributeToMachine(machine, thresholds) {
			faulty = append(faulty, other)
		}
	}
	return faulty
}

// UnprovenJobs returns the jobs that failed and have not been seen to succeed, each with the
// time for which a task must run to prove that the job works.
func (a *Attributor) UnprovenJobs() map[string]time.Duration {
	unproven := map[string]time.Duration{}
	for ref, job := range a.jobs {
		if !job.hasSucceeded {
			unproven[ref] = 2*job.longestFailure + tuning.JobWorksAfter
		}
	}
	return unproven
}

// ShouldAvoid reports whether a job should not be tried on a machine since it failed there.
func (a *Attributor) ShouldAvoid(ref, host string) bool {
	job := a.jobs[ref]
	return job != nil && job.failuresByMachine[host] > 0
}

// IsPaused reports whether a job at fault has to wait.
func (a *Attributor) IsPaused(ref string, now time.Time) bool {
	job := a.jobs[ref]
	return job != nil && now.Before(job.pausedUntil)
}

// IsJobFaulty reports whether a job is at fault as far as is known: a few of its tasks may be
// tried, but nothing is preempted, reserved or scaled out for it.
func (a *Attributor) IsJobFaulty(ref string) bool {
	job := a.jobs[ref]
	return job != nil && job.pauseCount > 0
}

// FaultyJobs returns up to limit jobs at fault, in no order.
func (a *Attributor) FaultyJobs(limit int) []string {
	var refs []string
	for ref, job := range a.jobs {
		if job.pauseCount > 0 && len(refs) < limit {
			refs = append(refs, ref)
		}
	}
	return refs
}

// IsSuspected reports whether a machine is not to be used for the moment.
func (a *Attributor) IsSuspected(host string, now time.Time) bool {
	machine := a.machines[host]
	return machine != nil && now.Before(machine.suspectedUntil)
}

// FailureCount returns how many failures are recorded against a machine since a task was last
// done there.
func (a *Attributor) FailureCount(host string) int {
	machine := a.machines[host]
	if machine == nil {
		return 0
	}
	count := 0
	for _, failures := range machine.failuresByJob {
		count += failures
	}
	return count
}

// ForgetJob drops the evidence of a job that has ended.
func (a *Attributor) ForgetJob(ref string) {
	if _, known := a.jobs[ref]; !known {
		return
	}
	delete(a.jobs, ref)
	for _, machine := range a.machines {
		delete(machine.failuresByJob, ref)
	}
}

// ForgetMachine drops the evidence of a machine that was removed.
func (a *Attributor) ForgetMachine(host string) {
	delete(a.machines, host)
	for _, job := range a.jobs {
		delete(job.failuresByMachine, host)
	}
}
