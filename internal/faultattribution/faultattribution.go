// Package faultattribution decides who is at fault when tasks fail: the machine, which may fail
// every task, or the job, which may fail on every machine. It decides by comparison: a job that
// has succeeded anywhere is evidence against the machines on which it fails, and a machine that
// is not suspected itself is evidence against the jobs that fail there.
package faultattribution

import (
	"iter"
	"maps"
	"time"

	"cherrywall/internal/tuning"
)

// maxBackoffShift is the maximum number of times that the pause of a faulty job, or the time for which a
// job avoids a machine, is doubled, so that the result does not overflow before it is limited.
const maxBackoffShift = 10

// Thresholds are the operators' settings for the attribution of faults.
type Thresholds struct {
	// MachineFailures is the number of failures of a single job that are sufficient evidence
	// against a machine. Failures of two jobs are always sufficient.
	MachineFailures int
	// JobFaultMachines is the number of machines on which a job must fail before the fault is attributed
	// to it.
	JobFaultMachines int
}

// Attributor collects the evidence. It is not safe for concurrent use; one actor owns it.
type Attributor struct {
	jobs     map[string]*jobEvidence
	machines map[string]*machineEvidence
}

type jobEvidence struct {
	// hasSucceeded is set once a task of the job was done, or ran far longer than the job's failed tasks.
	hasSucceeded bool
	// failuresByMachine and failureCount are reset when the job is found at fault.
	failuresByMachine map[string]*machineFailures
	failureCount      int
	longestFailure    time.Duration // the longest time for which a failed task ran
	pauseCount        int           // consecutive pauses; 0 if the job is not at fault
	pausedUntil       time.Time
}

// machineFailures are the failures of a job on a machine since the job was last done there.
type machineFailures struct {
	avoidanceCount int       // how often the job has begun to avoid the machine
	avoidedUntil   time.Time // the job is not tried on the machine until then
}

// recordFailure begins another avoidance of the machine, which is twice as long as the one before. It does
// nothing during an avoidance: the task was started before, together with the one that failed first.
func (f *machineFailures) recordFailure(now time.Time) {
	if now.Before(f.avoidedUntil) {
		return
	}
	avoidance := tuning.MinMachineAvoidance << min(f.avoidanceCount, maxBackoffShift)
	f.avoidedUntil = now.Add(min(avoidance, tuning.MaxMachineAvoidance))
	f.avoidanceCount++
}

type machineEvidence struct {
	failuresByJob  map[string]int // failures since a task was last done on the machine, by job
	suspectedUntil time.Time      // the machine gets no tasks until then
	isFaulty       bool
}

// Attribution is the conclusion from a failure. In the zero value neither the job nor the machine
// is at fault.
type Attribution struct {
	// JobPause is how long the job has to wait if it is found at fault; otherwise it is 0.
	JobPause time.Duration
	// IsMachineFaulty is set when the machine is found at fault.
	IsMachineFaulty bool
}

// New returns an attributor without evidence.
func New() *Attributor {
	return &Attributor{jobs: map[string]*jobEvidence{}, machines: map[string]*machineEvidence{}}
}

func (a *Attributor) jobEvidenceOf(ref string) *jobEvidence {
	job := a.jobs[ref]
	if job == nil {
		job = &jobEvidence{failuresByMachine: map[string]*machineFailures{}}
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

// RecordFailure records that a job's task failed on a machine after it had run for runTime. It
// returns whether the failure shows that the job or the machine is at fault.
func (a *Attributor) RecordFailure(ref, host string, runTime time.Duration, now time.Time, thresholds Thresholds) Attribution {
	job, machine := a.jobEvidenceOf(ref), a.machineEvidenceOf(host)
	machine.failuresByJob[ref]++
	job.longestFailure = max(job.longestFailure, runTime)
	if now.Before(job.pausedUntil) {
		return Attribution{} // the task was started before the job was paused, so it is no new evidence
	}
	if job.failuresByMachine[host] == nil {
		job.failuresByMachine[host] = &machineFailures{}
	}
	job.failuresByMachine[host].recordFailure(now)
	job.failureCount++
	if a.isJobAtFault(job, thresholds) {
		return Attribution{JobPause: a.pauseJob(ref, job, now)}
	}
	if a.markMachineIfFaulty(machine, thresholds) {
		return Attribution{IsMachineFaulty: true}
	}
	if a.credibleEvidence(machine).isSufficient(thresholds) {
		machine.suspectedUntil = now.Add(tuning.SuspectMachinePause)
	}
	return Attribution{}
}

// isJobAtFault reports whether a job is at fault for its failures. A job that has succeeded is
// never at fault. After the first pause a single failure is enough for the next, longer pause.
func (a *Attributor) isJobAtFault(job *jobEvidence, thresholds Thresholds) bool {
	if job.hasSucceeded {
		return false
	}
	return job.pauseCount > 0 ||
		a.countTrustedMachines(job) >= thresholds.JobFaultMachines ||
		job.failureCount >= thresholds.JobFaultMachines*tuning.JobFaultFailureFactor
}

// pauseJob starts the next pause of a job at fault. From then on the job's failures are no evidence
// against machines.
func (a *Attributor) pauseJob(ref string, job *jobEvidence, now time.Time) time.Duration {
	pause := min(tuning.MinJobBackoff<<min(job.pauseCount, maxBackoffShift), tuning.MaxJobBackoff)
	job.pauseCount++
	job.pausedUntil = now.Add(pause)
	job.failuresByMachine, job.failureCount = map[string]*machineFailures{}, 0
	for _, machine := range a.machines {
		delete(machine.failuresByJob, ref)
	}
	return pause
}

// countTrustedMachines returns the number of machines that are evidence against a job: the job
// failed on them, they are not faulty, and the credible evidence against each of them comes from at
// most one job.
func (a *Attributor) countTrustedMachines(job *jobEvidence) int {
	count := 0
	for host := range job.failuresByMachine {
		machine := a.machineEvidenceOf(host)
		if !machine.isFaulty && a.credibleEvidence(machine).jobCount < 2 {
			count++
		}
	}
	return count
}

// evidenceSummary is the sum of the credible evidence against a machine.
type evidenceSummary struct {
	jobCount          int // number of jobs whose failures on the machine are credible evidence
	failureCount      int // number of failures of these jobs
	succeededJobCount int // number of these jobs that have succeeded somewhere
}

// isSufficient reports whether the evidence is sufficient to suspect the machine.
func (e evidenceSummary) isSufficient(thresholds Thresholds) bool {
	return e.jobCount > 1 || e.failureCount >= thresholds.MachineFailures
}

// credibleEvidence sums up the credible evidence against a machine: the failures of
// jobs that have succeeded somewhere, and the failures of jobs that have failed only on this
// machine. A job that has not succeeded is no evidence if it has also failed on other machines or was
// paused.
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
		evidence.jobCount++
		evidence.failureCount += failures
		if job.hasSucceeded {
			evidence.succeededJobCount++
		}
	}
	return evidence
}

// markMachineIfFaulty marks a machine as faulty if the evidence is sufficient. It reports whether
// it has marked the machine, which is false if the machine was already marked. Faulty jobs alone
// must never make a machine count as faulty, however many of them fail on it. Therefore at least
// one of the jobs must have succeeded elsewhere.
func (a *Attributor) markMachineIfFaulty(machine *machineEvidence, thresholds Thresholds) bool {
	if machine.isFaulty {
		return false
	}
	evidence := a.credibleEvidence(machine)
	machine.isFaulty = evidence.succeededJobCount > 0 && evidence.isSufficient(thresholds)
	return machine.isFaulty
}

// RecordSuccess records that a job's task was done, or runs well, on a machine. This success may
// show that other machines, on which the job failed earlier, are at fault for those failures.
// RecordSuccess returns the machines that it has marked as faulty for this reason.
func (a *Attributor) RecordSuccess(ref, host string, thresholds Thresholds) (faultyHosts []string) {
	if machine := a.machines[host]; machine != nil {
		clear(machine.failuresByJob)
		machine.suspectedUntil = time.Time{}
	}
	job := a.jobs[ref]
	if job == nil {
		return nil // like most jobs, this one has never failed: nothing is stored about it
	}
	job.pausedUntil, job.pauseCount, job.failureCount = time.Time{}, 0, 0
	delete(job.failuresByMachine, host)
	if job.hasSucceeded {
		return nil
	}
	job.hasSucceeded = true
	for otherHost := range job.failuresByMachine {
		if machine := a.machines[otherHost]; machine != nil && a.markMachineIfFaulty(machine, thresholds) {
			faultyHosts = append(faultyHosts, otherHost)
		}
	}
	return faultyHosts
}

// UnprovenJobs returns the jobs that failed and were not observed to succeed. The value for
// each job is the time for which a task must run to prove that the job works.
func (a *Attributor) UnprovenJobs() map[string]time.Duration {
	requiredRunTimes := map[string]time.Duration{}
	for ref, job := range a.jobs {
		if !job.hasSucceeded {
			requiredRunTimes[ref] = 2*job.longestFailure + tuning.JobSuccessRunTimeMargin
		}
	}
	return requiredRunTimes
}

// ShouldAvoid reports whether a job should not be tried on a machine now because it has failed there a
// short time ago. The machine may have recovered, so the job is tried there again later.
func (a *Attributor) ShouldAvoid(ref, host string, now time.Time) bool {
	job := a.jobs[ref]
	if job == nil {
		return false
	}
	failures := job.failuresByMachine[host]
	return failures != nil && now.Before(failures.avoidedUntil)
}

// HasFailedOn reports whether a job has failed on a machine since it was last done there. Machines on which
// it has not failed are better for it.
func (a *Attributor) HasFailedOn(ref, host string) bool {
	job := a.jobs[ref]
	return job != nil && job.failuresByMachine[host] != nil
}

// FailedHosts yields the machines on which a job has failed since it was last done there, in no order.
func (a *Attributor) FailedHosts(ref string) iter.Seq[string] {
	if job := a.jobs[ref]; job != nil {
		return maps.Keys(job.failuresByMachine)
	}
	return func(func(string) bool) {}
}

// IsPaused reports whether a job at fault has to wait.
func (a *Attributor) IsPaused(ref string, now time.Time) bool {
	job := a.jobs[ref]
	return job != nil && now.Before(job.pausedUntil)
}

// IsJobFaulty reports whether a job is currently found at fault. A few tasks of such a job may be
// tried, but nothing is preempted, reserved or scaled out for it.
func (a *Attributor) IsJobFaulty(ref string) bool {
	job := a.jobs[ref]
	return job != nil && job.pauseCount > 0
}

// FaultyJobs returns at most limit jobs at fault, in no particular order.
func (a *Attributor) FaultyJobs(limit int) []string {
	var refs []string
	for ref, job := range a.jobs {
		if job.pauseCount > 0 && len(refs) < limit {
			refs = append(refs, ref)
		}
	}
	return refs
}

// IsSuspected reports whether a machine is suspected to be faulty, so that it must not be used at present.
func (a *Attributor) IsSuspected(host string, now time.Time) bool {
	machine := a.machines[host]
	return machine != nil && now.Before(machine.suspectedUntil)
}

// FailureCount returns the number of failures recorded against a machine since a task was last done
// there.
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
	if _, isKnown := a.jobs[ref]; !isKnown {
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
