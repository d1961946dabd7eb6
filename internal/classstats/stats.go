// Package classstats keeps statistics of each class of jobs: arrivals, their size, and the ratio
// of actual run times to the users' estimates. They size the buffers that are kept free for jobs
// to come.
package classstats

import (
	"slices"
	"time"

	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// Stats holds the statistics of all classes. It has no locks: one actor owns it.
type Stats struct{ byClass map[string]*classStats }

// classStats are the statistics of one class.
type classStats struct {
	runTimeRatio float64 // actual over estimated run time, moving mean
	sampleCount  int     // tasks in runTimeRatio
	arrivals     []arrival
	lastJob      *jobs.JobRecord
}

// arrival is the submission of one job.
type arrival struct {
	arrivedAt  time.Time // the arrivals of a class are in this order
	tasks      int
	cpuSeconds float64 // by the user's estimate
}

// New returns empty statistics.
func New() *Stats { return &Stats{map[string]*classStats{}} }

func (s *Stats) statsOf(class string) *classStats {
	stats := s.byClass[class]
	if stats == nil {
		stats = &classStats{runTimeRatio: 1}
		s.byClass[class] = stats
	}
	return stats
}

// RecordArrival records a job that this controller did not know before and that could run since
// a time of day (Unix milliseconds, 0 if unknown).
func (s *Stats) RecordArrival(job *jobs.JobRecord, runnableSinceMS int64, now time.Time) {
	stats := s.statsOf(job.Class)
	stats.lastJob = job
	// Jobs that a starting controller reads together arrived at different times. Counted as a
	// burst at its start, they made the buffers several times too large.
	arrivedAt := now
	if runnableSince := time.UnixMilli(runnableSinceMS); runnableSinceMS > 0 && runnableSince.Before(now) {
		arrivedAt = runnableSince
	}
	stats.addArrival(arrival{
		arrivedAt:  arrivedAt,
		tasks:      job.Tasks,
		cpuSeconds: float64(job.Tasks) * job.CPU * job.EstimatedRunSeconds,
	})
}

// addArrival inserts an arrival after all earlier and simultaneous ones.
func (c *classStats) addArrival(added arrival) {
	index, _ := slices.BinarySearchFunc(c.arrivals, added.arrivedAt.Add(1), func(a arrival, at time.Time) int { return a.arrivedAt.Compare(at) })
	c.arrivals = slices.Insert(c.arrivals, index, added)
	if len(c.arrivals) > tuning.MaxRecordedArrivals {
		c.arrivals = c.arrivals[1:]
	}
}

// RecordRunTime corrects the estimates of a class, which are often biased for a day, by the run
// time of a finished task in seconds.
func (s *Stats) RecordRunTime(job *jobs.JobRecord, runSeconds float64) {
	if job.EstimatedRunSeconds <= 0 || runSeconds <= 0 {
		return
	}
	stats := s.statsOf(job.Class)
	weight := max(1/float64(stats.sampleCount+1), tuning.MinRunTimeSampleWeight)
	stats.runTimeRatio += weight * (runSeconds/job.EstimatedRunSeconds - stats.runTimeRatio)
	stats.sampleCount++
}

// ExpectedTaskSeconds returns the corrected estimate of a task's run time in seconds.
func (s *Stats) ExpectedTaskSeconds(job *jobs.JobRecord) float64 {
	return job.EstimatedRunSeconds * s.estimateCorrection(job.Class)
}

// ExpectedJobSeconds returns the expected time in seconds from the moment a job may run, with
// free machines, to its end: the fetching of its image, its slowest task, and the heartbeats and
// records before a dependent job can start.
func (s *Stats) ExpectedJobSeconds(job *jobs.JobRecord) float64 {
	slowest := 1 + tuning.RunTimeSpread*(1-1/float64(max(job.Tasks, 1)))
	return s.ExpectedTaskSeconds(job)*slowest + tuning.JobOverheadSeconds
}

// estimateCorrection is the factor that corrects the estimates of a class.
func (s *Stats) estimateCorrection(class string) float64 {
	return min(max(s.statsOf(class).runTimeRatio, tuning.MinEstimateRatio), tuning.MaxEstimateRatio)
}

// isPaused reports whether no more jobs of a class are expected, after a pause much longer than
// usual: an idle cluster is scaled in.
func (c *classStats) isPaused(now time.Time) bool {
	if len(c.arrivals) == 0 {
		return true
	}
	first, last := c.arrivals[0], c.arrivals[len(c.arrivals)-1]
	meanGap := now.Sub(first.arrivedAt) / time.Duration(len(c.arrivals))
	return now.Sub(last.arrivedAt) > min(max(2*meanGap, tuning.MinClassPause), tuning.MaxClassPause)
}

// minUrgentPriority is the lowest priority whose gangs have a growth buffer.
var minUrgentPriority = jobs.HighestPriority() - 1

func (c *classStats) isUrgentGang() bool {
	return c.lastJob != nil && c.lastJob.Kind == jobs.Gang && c.lastJob.Priority() >= minUrgentPriority
}

// AnyUrgentGang reports whether the latest job of any class of urgent gangs matches.
func (s *Stats) AnyUrgentGang(matches func(job *jobs.JobRecord) bool) bool {
	for _, stats := range s.byClass {
		if stats.isUrgentGang() && matches(stats.lastJob) {
			return true
		}
	}
	return false
}
