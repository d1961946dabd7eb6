package classstats

import (
	"math"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/config"
	"cherrywall/internal/forecast"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// GrowthBuffer is the growth buffer of one class (section 3.1 of the Kerveros paper): the number
// of tasks by which the class is likely to grow while a machine boots.
type GrowthBuffer struct {
	Record *jobs.JobRecord    // the latest job of the class
	Need   capacity.Resources // of one task
	Tasks  float64            // an expected value, not a whole number
}

// RunningJob is a gang or service that runs.
type RunningJob struct {
	Class           string
	Tasks           int
	ExpectedSeconds float64 // expected run time
}

// GrowthBuffers returns the growth buffers of the classes of urgent gangs; all others wait for
// machines to boot. Arrivals during a boot of bootSeconds find the room of the jobs that end
// meanwhile: only the difference is kept free, plus one standard deviation of both, to which
// large gangs contribute the most. The result is scaled by factor.
func (s *Stats) GrowthBuffers(now time.Time, bootSeconds, factor float64, running []RunningJob) []GrowthBuffer {
	var buffers []GrowthBuffer
	for class, stats := range s.byClass {
		if !stats.isUrgentGang() || stats.isPaused(now) {
			continue
		}
		growth, variance := stats.expectedArrivals(now, bootSeconds)
		for _, job := range running {
			if job.Class == class {
				ending, endingVariance := job.expectedEnd(bootSeconds)
				growth -= ending
				variance += endingVariance
			}
		}
		buffers = append(buffers, GrowthBuffer{Record: stats.lastJob, Need: stats.lastJob.Need(),
			Tasks: factor * (max(0, growth) + math.Sqrt(variance))})
	}
	return buffers
}

// expectedArrivals returns the expected number of tasks that arrive during a boot, and its
// variance. The class must have arrivals, see isPaused.
func (c *classStats) expectedArrivals(now time.Time, bootSeconds float64) (tasks, variance float64) {
	sum, sumOfSquares := 0.0, 0.0
	for _, arrival := range c.arrivals {
		if now.Sub(arrival.arrivedAt) < tuning.ArrivalWindow {
			sum += float64(arrival.tasks)
			sumOfSquares += float64(arrival.tasks * arrival.tasks)
		}
	}
	observed := min(now.Sub(c.arrivals[0].arrivedAt), tuning.ArrivalWindow)
	bootFraction := bootSeconds / max(observed.Seconds(), bootSeconds)
	return sum * bootFraction, sumOfSquares * bootFraction
}

// expectedEnd returns the expected number of tasks that end during a boot, and its variance. The
// tasks of a job end together.
func (j RunningJob) expectedEnd(bootSeconds float64) (tasks, variance float64) {
	size, probability := float64(j.Tasks), min(1, bootSeconds/max(j.ExpectedSeconds, 1))
	return size * probability, size * size * probability * (1 - probability)
}

// ExpectedLoad is the load that a class of arrays is expected to bring.
type ExpectedLoad struct {
	Record  *jobs.JobRecord // the latest job of the class
	PeakCPU float64         // CPUs used at once
}

// ExpectedLoads returns, by class, the loads of the arrays that have a service-level objective.
// hasNoObjective reports that a job has none.
func (s *Stats) ExpectedLoads(now time.Time, objectives []config.Objective, hasNoObjective func(job *jobs.JobRecord) bool) map[string]ExpectedLoad {
	loads := map[string]ExpectedLoad{}
	for class, stats := range s.byClass {
		job := stats.lastJob
		if job == nil || job.Kind != jobs.Array || hasNoObjective(job) || stats.isPaused(now) {
			continue
		}
		arrivals := make([]forecast.Arrival, len(stats.arrivals))
		for i, arrival := range stats.arrivals {
			arrivals[i] = forecast.Arrival{ArrivedAt: arrival.arrivedAt, CPUSeconds: arrival.cpuSeconds * s.estimateCorrection(class)}
		}
		runSeconds := s.ExpectedTaskSeconds(job)
		target := config.TargetSeconds(objectives, job.Class, job.DeadlineSeconds) * tuning.DeadlineTargetFraction
		horizon := max(target-runSeconds, runSeconds)
		loads[class] = ExpectedLoad{Record: job, PeakCPU: forecast.ExpectedLoad(arrivals, now, tuning.ArrivalWindow, horizon)}
	}
	return loads
}
