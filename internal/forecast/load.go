// Package forecast estimates the near future from recent observations: the load of a class of jobs,
// and the boot times of requested machines. It reads no clock and is not safe for concurrent use;
// callers pass the time.
package forecast

import (
	"math"
	"time"
)

// Arrival is the submission of one job.
type Arrival struct {
	ArrivedAt  time.Time
	CPUSeconds float64 // expected work of the whole job
}

// ExpectedLoad returns the number of CPUs that a class of jobs is likely to use at once: the mean
// load of the jobs that arrived within the window, plus one standard deviation. The work of each job
// is regarded as spread over the horizon, which is the time that the job may take. So the deviation
// is greater for a class of a few large, urgent jobs than for one of many small jobs with late
// deadlines.
func ExpectedLoad(arrivals []Arrival, now time.Time, window time.Duration, horizonSeconds float64) float64 {
	var first time.Time
	sum, sumOfSquares := 0.0, 0.0
	for _, arrival := range arrivals {
		if now.Sub(arrival.ArrivedAt) > window {
			continue
		}
		if first.IsZero() || arrival.ArrivedAt.Before(first) {
			first = arrival.ArrivedAt
		}
		sum += arrival.CPUSeconds
		sumOfSquares += arrival.CPUSeconds * arrival.CPUSeconds
	}
	if first.IsZero() || horizonSeconds <= 0 {
		return 0
	}
	// Arrivals that were observed for less than the horizon say nothing about their rate yet.
	observedSeconds := max(now.Sub(first).Seconds(), horizonSeconds)
	return sum/observedSeconds + math.Sqrt(sumOfSquares/(horizonSeconds*observedSeconds))
}
