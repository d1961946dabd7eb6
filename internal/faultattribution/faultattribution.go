// Package blame judges who is at fault when tasks fail: the machine, which may
// fail every task, or the job, which may fail on every machine. It judges by
// comparison: a job that has worked anywhere is a witness against the machines
// on which it fails, and a machine that is not suspected itself is a witness
// against the jobs that fail there.
package faultattribution

import (
	"time"

	"cherrywall/internal/tuning"
)

// Thresholds are the operators' settings.
type Thresholds struct {
	MachineFailures int // failures of jobs that work elsewhere which take a machine out of use
	JobMachines     int // machines on which a job must fail before it is blamed
}

// Attributor keeps the evidence.
type Attributor struct {
	jobs     map[string]*jobEvidence
	machines map[string]*machineEvidence
}

type jobEvidence struct {
	hasSucceeded      bool           // a task was done, or ran far longer than the failing ones
	failuresByMachine map[string]int // failures by machine, since it was last blamed
	failureCount      int            // the same in all
	longestFailure    time.Duration  // the longest that a failing task ran
	pauseCount        int
	pausedUntil       time.Time
}

type machineEvidence struct {
	failuresByJob  map[string]int // failures by job, since a task was last done here
	suspectedUntil time.Time      // in doubt, not used meanwhile
	isFaulty       bool
}

// New makes a judge without evidence.
func New() *Attributor { return &Attributor{map[string]*jobEvidence{}, map[string]*machineEvidence{}} }

func (j *Attributor) jobEvidenceOf(ref string) *jobEvidence {
	c := j.jobs[ref]
	if c == nil {
		c = &jobEvidence{failuresByMachine: map[string]int{}}
		j.jobs[ref] = c
	}
	return c
}

func (j *Attributor) machineEvidenceOf(name string) *machineEvidence {
	c := j.machines[name]
	if c == nil {
		c = &machineEvidence{failuresByJob: map[string]int{}}
		j.machines[name] = c
	}
	return c
}

// RecordFailure notes a task that failed after it ran for some time. Pause is set when
// the job is blamed by it; sick when the machine is.
func (j *Attributor) RecordFailure(ref, host string, ran time.Duration, now time.Time, thresholds Thresholds) (pause time.Duration, sick bool) {
	jc, hc := j.jobEvidenceOf(ref), j.machineEvidenceOf(host)
	hc.failuresByJob[ref]++
	jc.longestFailure = max(jc.longestFailure, ran)
	if now.Before(jc.pausedUntil) {
		return 0, false // started before the job was blamed: nothing new
	}
	jc.failuresByMachine[host]++
	jc.failureCount++
	// Once blamed, a single trial that fails is enough for the next, longer pause.
	if !jc.hasSucceeded && (jc.pauseCount > 0 || j.countWitnesses(jc) >= thresholds.JobMachines || jc.failureCount >= thresholds.JobMachines*tuning.JobFaultFailureFactor) {
		pause = min(tuning.MinJobBackoff<<min(jc.pauseCount, 10), tuning.MaxJobBackoff)
		jc.pauseCount++
		jc.pausedUntil = now.Add(pause)
		jc.failuresByMachine, jc.failureCount = map[string]int{}, 0
		for _, o := range j.machines { // it is no witness any more
			delete(o.failuresByJob, ref)
		}
		return pause, false
	}
	if j.attributeToMachine(hc, thresholds) {
		return 0, true
	}
	if jobs, errors, _ := j.credibleEvidence(hc); jobs > 1 || errors >= thresholds.MachineFailures {
		hc.suspectedUntil = now.Add(tuning.SuspectMachinePause)
	}
	return 0, false
}

// countWitnesses counts the machines that speak against a job: those which are not
// suspected themselves.
func (j *Attributor) countWitnesses(jc *jobEvidence) int {
	n := 0
	for h := range jc.failuresByMachine {
		hc := j.machineEvidenceOf(h)
		if jobs, _, _ := j.credibleEvidence(hc); !hc.isFaulty && jobs < 2 {
			n++
		}
	}
	return n
}

// credibleEvidence sums up what speaks against a machine: jobs that work elsewhere, and
// jobs of which nothing else is known. One that failed on other machines too,
// and has never worked, says nothing.
func (j *Attributor) credibleEvidence(hc *machineEvidence) (jobs, errors, working int) {
	for ref, n := range hc.failuresByJob {
		jc := j.jobs[ref]
		switch {
		case jc == nil:
		case jc.hasSucceeded:
			jobs, errors, working = jobs+1, errors+n, working+1
		case len(jc.failuresByMachine) == 1 && jc.pauseCount == 0:
			jobs, errors = jobs+1, errors+n
		}
	}
	return jobs, errors, working
}

// attributeToMachine decides on a machine. Broken jobs that happen to meet on it must not
// suffice, however many: a job that works elsewhere is among the witnesses.
func (j *Attributor) attributeToMachine(hc *machineEvidence, thresholds Thresholds) bool {
	jobs, errors, working := j.credibleEvidence(hc)
	if !hc.isFaulty && (working > 0 && (jobs > 1 || errors >= thresholds.MachineFailures)) {
		hc.isFaulty = true
		return true
	}
	return false
}

// RecordSuccess notes that a job works, on a machine if one is named: a task was done
// there. It tells which machines are sick after all.
func (j *Attributor) RecordSuccess(ref, host string, thresholds Thresholds) (sick []string) {
	if hc := j.machines[host]; hc != nil {
		clear(hc.failuresByJob)
		hc.suspectedUntil = time.Time{}
	}
	jc := j.jobs[ref]
	if jc == nil {
		// Most jobs never fail; of them nothing need be remembered.
		return nil
	}
	jc.pausedUntil, jc.pauseCount, jc.failureCount = time.Time{}, 0, 0
	delete(jc.failuresByMachine, host)
	if jc.hasSucceeded {
		return nil
	}
	jc.hasSucceeded = true
	for h := range jc.failuresByMachine {
		if hc := j.machines[h]; hc != nil && j.attributeToMachine(hc, thresholds) {
			sick = append(sick, h)
		}
	}
	return sick
}

// UnprovenJobs lists the jobs that failed and have not been seen to work, with the time
// for which a task must run to show it.
func (j *Attributor) UnprovenJobs() map[string]time.Duration {
	out := map[string]time.Duration{}
	for ref, jc := range j.jobs {
		if !jc.hasSucceeded {
			out[ref] = 2*jc.longestFailure + tuning.JobWorksAfter
		}
	}
	return out
}

// ShouldAvoid tells whether a job should not be tried on a machine.
func (j *Attributor) ShouldAvoid(ref, host string) bool {
	jc := j.jobs[ref]
	return jc != nil && jc.failuresByMachine[host] > 0
}

// IsPaused tells whether a blamed job has to wait.
func (j *Attributor) IsPaused(ref string, now time.Time) bool {
	jc := j.jobs[ref]
	return jc != nil && now.Before(jc.pausedUntil)
}

// IsJobFaulty tells whether a job is at fault as far as is known: it may be tried in
// small, but nothing is stopped, kept or rented for it.
func (j *Attributor) IsJobFaulty(ref string) bool {
	jc := j.jobs[ref]
	return jc != nil && jc.pauseCount > 0
}

// FaultyJobs are the jobs at fault, most of them, in no order.
func (j *Attributor) FaultyJobs(most int) []string {
	var out []string
	for ref, jc := range j.jobs {
		if jc.pauseCount > 0 && len(out) < most {
			out = append(out, ref)
		}
	}
	return out
}

// IsSuspected tells whether a machine is not to be used for the moment.
func (j *Attributor) IsSuspected(host string, now time.Time) bool {
	hc := j.machines[host]
	return hc != nil && now.Before(hc.suspectedUntil)
}

// FailureCount is how many failures stand against a machine.
func (j *Attributor) FailureCount(host string) int {
	n := 0
	if hc := j.machines[host]; hc != nil {
		for _, k := range hc.failuresByJob {
			n += k
		}
	}
	return n
}

// ForgetJob and ForgetHost drop the evidence of what is no more.
func (j *Attributor) ForgetJob(ref string) {
	if _, known := j.jobs[ref]; !known {
		return
	}
	delete(j.jobs, ref)
	for _, h := range j.machines {
		delete(h.failuresByJob, ref)
	}
}

// ForgetMachine drops a machine.
func (j *Attributor) ForgetMachine(host string) {
	delete(j.machines, host)
	for _, c := range j.jobs {
		delete(c.failuresByMachine, host)
	}
}
