// Package classes keeps what was seen of each class of jobs: when they came, how
// much they were, and how far the owners' estimates are off. The buffers that are
// kept for what is likely to come are sized by it.
package classstats

import (
	"math"
	"slices"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/config"
	"cherrywall/internal/forecast"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// Stats has no locks: one actor owns it.
type Stats struct{ byClass map[string]*classStats }

type classStats struct {
	runTimeRatio float64 // run time over estimate, moving mean
	sampleCount  int
	arrivals     []arrival // in the order of their times
	lastJob      *jobs.JobRecord
}

type arrival struct {
	arrivedAt  time.Time
	tasks      int
	cpuSeconds float64 // CPU seconds by the owner's estimate
}

// New makes an empty book.
func New() *Stats { return &Stats{map[string]*classStats{}} }

func (b *Stats) statsOf(name string) *classStats {
	stats := b.byClass[name]
	if stats == nil {
		stats = &classStats{runTimeRatio: 1}
		b.byClass[name] = stats
	}
	return stats
}

// RecordArrival notes a job that is new here, which could run since a time of day (Unix ms).
func (b *Stats) RecordArrival(rec *jobs.JobRecord, sinceMS int64, now time.Time) {
	stats := b.statsOf(rec.Class)
	stats.lastJob = rec
	// Jobs read together at a start came at different times: taken for a burst, they
	// made the buffers several times too large.
	at := now
	if came := time.UnixMilli(sinceMS); sinceMS > 0 && came.Before(at) {
		at = came
	}
	x := arrival{at, rec.Tasks, float64(rec.Tasks) * rec.CPU * rec.EstimatedRunSeconds}
	i, _ := slices.BinarySearchFunc(stats.arrivals, at.Add(1), func(y arrival, t time.Time) int { return y.arrivedAt.Compare(t) })
	stats.arrivals = slices.Insert(stats.arrivals, i, x)
	if len(stats.arrivals) > tuning.MaxRecordedArrivals {
		stats.arrivals = stats.arrivals[1:]
	}
}

// RecordRunTime corrects the owners' estimates, which are often biased for a day, by a task
// that ran for so many seconds.
func (b *Stats) RecordRunTime(rec *jobs.JobRecord, ran float64) {
	if rec.EstimatedRunSeconds <= 0 || ran <= 0 {
		return
	}
	stats := b.statsOf(rec.Class)
	w := max(1/float64(stats.sampleCount+1), tuning.MinRunTimeSampleWeight)
	stats.runTimeRatio += w * (ran/rec.EstimatedRunSeconds - stats.runTimeRatio)
	stats.sampleCount++
}

// ExpectedTaskSeconds is the corrected run time of a task, in seconds.
func (b *Stats) ExpectedTaskSeconds(rec *jobs.JobRecord) float64 {
	return rec.EstimatedRunSeconds * b.estimateCorrection(rec.Class)
}

// ExpectedJobSeconds is how long a job is expected to take from the moment it may run, with room at hand,
// in seconds: its image, the slowest of its tasks, the reports and records between two
// stages. What waits for it can't start sooner.
func (b *Stats) ExpectedJobSeconds(rec *jobs.JobRecord) float64 {
	slowest := 1 + tuning.RunTimeSpread*(1-1/float64(max(rec.Tasks, 1)))
	return b.ExpectedTaskSeconds(rec)*slowest + tuning.JobOverheadSeconds
}

// estimateCorrection is by how much the estimates of a class are corrected.
func (b *Stats) estimateCorrection(name string) float64 {
	return min(max(b.statsOf(name).runTimeRatio, tuning.MinEstimateRatio), tuning.MaxEstimateRatio)
}

// isPaused tells whether no more of a class are expected, after a pause much longer
// than usual: a cluster without work gives its machines back.
func (stats *classStats) isPaused(now time.Time) bool {
	if len(stats.arrivals) == 0 {
		return true
	}
	gap := now.Sub(stats.arrivals[0].arrivedAt) / time.Duration(len(stats.arrivals))
	return now.Sub(stats.arrivals[len(stats.arrivals)-1].arrivedAt) > min(max(2*gap, tuning.MinClassPause), tuning.MaxClassPause)
}

// minUrgentPriority is the least priority that has a growth buffer.
var minUrgentPriority = jobs.HighestPriority() - 1

func (stats *classStats) isUrgentGang() bool {
	return stats.lastJob != nil && stats.lastJob.Kind == jobs.Gang && stats.lastJob.Priority() >= minUrgentPriority
}

// AnyUrgentGang tells whether the latest job of any class of urgent gangs is such.
func (b *Stats) AnyUrgentGang(such func(rec *jobs.JobRecord) bool) bool {
	for _, stats := range b.byClass {
		if stats.isUrgentGang() && such(stats.lastJob) {
			return true
		}
	}
	return false
}

// GrowthBuffer is the paper's growth buffer (3.1) for one class: by how many tasks
// it is likely to grow while a machine boots.
type GrowthBuffer struct {
	Record *jobs.JobRecord
	Need   capacity.Resources
	Tasks  float64
}

// RunningJob is a job that runs as a whole.
type RunningJob struct {
	Class           string
	Tasks           int
	ExpectedSeconds float64 // expected run time, seconds
}

// GrowthBuffers sizes the buffers from what was seen. What arrives while a machine
// boots (boot seconds) finds the room of what ends meanwhile: only the difference
// has to be kept, and one deviation of both, of which large gangs are the most.
// Only classes above the lowest waiting kinds have a buffer: others wait for
// machines.
func (b *Stats) GrowthBuffers(now time.Time, boot, factor float64, running []RunningJob) []GrowthBuffer {
	var out []GrowthBuffer
	for name, stats := range b.byClass {
		if !stats.isUrgentGang() || stats.isPaused(now) {
			continue
		}
		tasks, squares := 0.0, 0.0
		for _, x := range stats.arrivals {
			if now.Sub(x.arrivedAt) < tuning.ArrivalWindow {
				tasks += float64(x.tasks)
				squares += float64(x.tasks * x.tasks)
			}
		}
		part := boot / max(min(now.Sub(stats.arrivals[0].arrivedAt), tuning.ArrivalWindow).Seconds(), boot)
		grow, spread := tasks*part, squares*part
		for _, r := range running {
			if r.Class != name {
				continue
			}
			n, ends := float64(r.Tasks), min(1, boot/max(r.ExpectedSeconds, 1))
			grow -= n * ends
			spread += n * n * ends * (1 - ends)
		}
		out = append(out, GrowthBuffer{Record: stats.lastJob, Need: stats.lastJob.Need(),
			Tasks: factor * (max(0, grow) + math.Sqrt(spread))})
	}
	return out
}

// ExpectedLoad is what a class of arrays is expected to use, in CPUs.
type ExpectedLoad struct {
	Record  *jobs.JobRecord
	PeakCPU float64
}

// ExpectedLoads are the loads that arrays of classes with an aim are likely to bring.
func (b *Stats) ExpectedLoads(now time.Time, objectives []config.Objective, aimless func(rec *jobs.JobRecord) bool) map[string]ExpectedLoad {
	out := map[string]ExpectedLoad{}
	for name, stats := range b.byClass {
		if stats.lastJob == nil || stats.lastJob.Kind != jobs.Array || aimless(stats.lastJob) || stats.isPaused(now) {
			continue
		}
		runs := b.ExpectedTaskSeconds(stats.lastJob)
		seen := make([]forecast.Arrival, len(stats.arrivals))
		for i, x := range stats.arrivals {
			seen[i] = forecast.Arrival{ArrivedAt: x.arrivedAt, CPUSeconds: x.cpuSeconds * b.estimateCorrection(name)}
		}
		horizon := max(config.TargetSeconds(objectives, stats.lastJob.Class, stats.lastJob.DeadlineSeconds)*tuning.DeadlineTargetFraction-runs, runs)
		out[name] = ExpectedLoad{Record: stats.lastJob, PeakCPU: forecast.ExpectedLoad(seen, now, tuning.ArrivalWindow, horizon)}
	}
	return out
}
