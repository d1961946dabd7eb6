// Package classstats maintains statistics for each class of jobs: the arrivals, their sizes, and the
// ratio of actual run times to the users' estimates. The statistics determine the size of the
// capacity buffers that are kept free for future jobs.
package classstats

import (
	"slices"
	"time"

	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// Stats holds the statistics of all classes. It is not safe for concurrent use: one actor owns it.
type Stats struct{ byClass map[string]*classStats }

// classStats are the statistics of one class.
type classStats struct {
	runTimeRatio float64   // moving mean of the ratio of actual to estimated run times
	sampleCount  int       // number of tasks that contributed to runTimeRatio
	arrivals     []arrival // in the order of arrivedAt
	lastJob      *jobs.JobRecord
}

// arrival is the submission of one job.
type arrival struct {
	arrivedAt  time.Time
	tasks      int
	cpuSeconds float64 // CPU seconds according to the user's estimate
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

// RecordArrival records the arrival of a job that this controller did not know before.
// runnableSinceMS is the wall-clock time (Unix ms) since which the job could run, 0 if unknown.
func (s *Stats) RecordArrival(job *jobs.JobRecord, runnableSinceMS int64, now time.Time) {
	stats := s.statsOf(job.Class)
	stats.lastJob = job
	// A starting controller reads many jobs at once that arrived at different times. If they were
	// counted as one burst of arrivals, the buffers would be several times too large.
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

// addArrival inserts an arrival after all arrivals of the same or an earlier time, and drops the earliest
// arrival if there are more than tuning.MaxRecordedArrivals.
func (c *classStats) addArrival(newArrival arrival) {
	index, _ := slices.BinarySearchFunc(c.arrivals, newArrival.arrivedAt.Add(1), func(a arrival, at time.Time) int { return a.arrivedAt.Compare(at) })
	c.arrivals = slices.Insert(c.arrivals, index, newArrival)
	if len(c.arrivals) > tuning.MaxRecordedArrivals {
		c.arrivals = c.arrivals[1:]
	}
}

// RecordRunTime records that a task of a job has finished after runSeconds, and adjusts the correction of
// the run time estimates for the job's class. The users' estimates for the jobs of a class are often biased
// for a whole day.
func (s *Stats) RecordRunTime(job *jobs.JobRecord, runSeconds float64) {
	if job.EstimatedRunSeconds <= 0 || runSeconds <= 0 {
		return
	}
	stats := s.statsOf(job.Class)
	weight := max(1/float64(stats.sampleCount+1), tuning.MinRunTimeSampleWeight)
	stats.runTimeRatio += weight * (runSeconds/job.EstimatedRunSeconds - stats.runTimeRatio)
	stats.sampleCount++
}

// ExpectedTaskSeconds returns the expected run time of a job's tasks in seconds: the user's estimate with
// the correction for the class.
func (s *Stats) ExpectedTaskSeconds(job *jobs.JobRecord) float64 {
	return job.EstimatedRunSeconds * s.estimateCorrection(job.Class)
}

// ExpectedJobSeconds returns the expected time in seconds from when a job may run to when a dependent job
// can start, if machines are free. It covers fetching the image, the job's slowest task, and the
// heartbeats and record writes at the end of the job.
func (s *Stats) ExpectedJobSeconds(job *jobs.JobRecord) float64 {
	slowestTaskFactor := 1 + tuning.RunTimeSpread*(1-1/float64(max(job.Tasks, 1)))
	return s.ExpectedTaskSeconds(job)*slowestTaskFactor + tuning.JobOverheadSeconds
}

// estimateCorrection returns the factor by which the users' run time estimates for the jobs of a class are
// multiplied, within the bounds tuning.MinEstimateRatio and tuning.MaxEstimateRatio.
func (s *Stats) estimateCorrection(class string) float64 {
	return min(max(s.statsOf(class).runTimeRatio, tuning.MinEstimateRatio), tuning.MaxEstimateRatio)
}

// isInactive reports whether no more jobs of a class are expected because the time since the last arrival
// is much longer than the mean time between arrivals. Inactive classes have no buffers, so that an idle
// cluster is scaled in.
func (c *classStats) isInactive(now time.Time) bool {
	if len(c.arrivals) == 0 {
		return true
	}
	first, last := c.arrivals[0], c.arrivals[len(c.arrivals)-1]
	meanGap := now.Sub(first.arrivedAt) / time.Duration(len(c.arrivals))
	return now.Sub(last.arrivedAt) > min(max(2*meanGap, tuning.MinClassInactivityTimeout), tuning.MaxClassInactivityTimeout)
}

// minUrgentPriority is the lowest priority at which a class of gangs has a growth buffer.
var minUrgentPriority = jobs.HighestPriority() - 1

func (c *classStats) isUrgentGangClass() bool {
	return c.lastJob != nil && c.lastJob.Kind == jobs.Gang && c.lastJob.Priority() >= minUrgentPriority
}

// AnyUrgentGang reports whether matches returns true for the latest job of any class of urgent gangs.
func (s *Stats) AnyUrgentGang(matches func(job *jobs.JobRecord) bool) bool {
	for _, stats := range s.byClass {
		if stats.isUrgentGangClass() && matches(stats.lastJob) {
			return true
		}
	}
	return false
}
