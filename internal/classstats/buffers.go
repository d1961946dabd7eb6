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

// GrowthBuffer is the growth buffer of a class (section 3.1 of the Kerveros paper): the number of tasks
// by which the class is likely to grow while a machine boots.
type GrowthBuffer struct {
	Record *jobs.JobRecord    // the latest job of the class
	Need   capacity.Resources // resources that one task needs
	Tasks  float64            // number of tasks; a statistical estimate, which need not be a whole number
}

// RunningJob is a running gang or service.
type RunningJob struct {
	Class              string
	Tasks              int
	ExpectedRunSeconds float64 // expected run time of each task
}

// GrowthBuffers returns the growth buffers of the classes of urgent gangs. The other classes have none:
// their jobs wait until machines have booted. The jobs that arrive during a boot of bootSeconds can use
// the capacity of the jobs that end during that time. The buffer is therefore the expected arrivals less
// the expected completions, plus one standard deviation of both together, to which large gangs
// contribute the most. factor scales the result.
func (s *Stats) GrowthBuffers(now time.Time, bootSeconds, factor float64, runningJobs []RunningJob) []GrowthBuffer {
	var buffers []GrowthBuffer
	for class, stats := range s.byClass {
		if !stats.isUrgentGangClass() || stats.isInactive(now) {
			continue
		}
		growth, variance := stats.expectedArrivals(now, bootSeconds)
		for _, job := range runningJobs {
			if job.Class == class {
				endingTasks, endingVariance := job.expectedCompletions(bootSeconds)
				growth -= endingTasks
				variance += endingVariance
			}
		}
		buffers = append(buffers, GrowthBuffer{Record: stats.lastJob, Need: stats.lastJob.Need(),
			Tasks: factor * (max(0, growth) + math.Sqrt(variance))})
	}
	return buffers
}

// expectedArrivals returns the expected number of tasks that arrive during a boot, and the variance of
// that number. The class must have at least one arrival, which is so if isInactive returns false.
func (c *classStats) expectedArrivals(now time.Time, bootSeconds float64) (tasks, variance float64) {
	sum, sumOfSquares := 0.0, 0.0
	for _, arrival := range c.arrivals {
		if now.Sub(arrival.arrivedAt) < tuning.ArrivalWindow {
			sum += float64(arrival.tasks)
			sumOfSquares += float64(arrival.tasks * arrival.tasks)
		}
	}
	observedTime := min(now.Sub(c.arrivals[0].arrivedAt), tuning.ArrivalWindow)
	bootFraction := bootSeconds / max(observedTime.Seconds(), bootSeconds)
	return sum * bootFraction, sumOfSquares * bootFraction
}

// expectedCompletions returns the expected number of tasks of the job that end during a boot, and the
// variance of that number. It assumes that all tasks of a job end together.
func (j RunningJob) expectedCompletions(bootSeconds float64) (tasks, variance float64) {
	taskCount, endProbability := float64(j.Tasks), min(1, bootSeconds/max(j.ExpectedRunSeconds, 1))
	return taskCount * endProbability, taskCount * taskCount * endProbability * (1 - endProbability)
}

// ExpectedLoad is the load that the arriving jobs of a class of arrays are expected to cause.
type ExpectedLoad struct {
	Record  *jobs.JobRecord // the latest job of the class
	PeakCPU float64         // number of CPUs that are used at the same time
}

// ExpectedLoads returns the expected loads by class, for the classes of arrays that have a service-level
// objective. hasNoObjective reports whether a job has no such objective.
func (s *Stats) ExpectedLoads(now time.Time, objectives []config.Objective, hasNoObjective func(job *jobs.JobRecord) bool) map[string]ExpectedLoad {
	loads := map[string]ExpectedLoad{}
	for class, stats := range s.byClass {
		job := stats.lastJob
		if job == nil || job.Kind != jobs.Array || hasNoObjective(job) || stats.isInactive(now) {
			continue
		}
		arrivals := make([]forecast.Arrival, len(stats.arrivals))
		for i, arrival := range stats.arrivals {
			arrivals[i] = forecast.Arrival{ArrivedAt: arrival.arrivedAt, CPUSeconds: arrival.cpuSeconds * s.estimateCorrection(class)}
		}
		runSeconds := s.ExpectedTaskSeconds(job)
		targetSeconds := config.TargetSeconds(objectives, job.Class, job.DeadlineSeconds) * tuning.DeadlineTargetFraction
		horizonSeconds := max(targetSeconds-runSeconds, runSeconds)
		loads[class] = ExpectedLoad{Record: job, PeakCPU: forecast.ExpectedLoad(arrivals, now, tuning.ArrivalWindow, horizonSeconds)}
	}
	return loads
}
