// Package forecast tells what is likely to come from what was seen: the load
// of a class of jobs, and when rented machines will be up. Pure functions and
// small records; whoever owns them passes the time.
package forecast

import (
	"math"
	"time"
)

// Arrival is one job of a class: when it came and how much it was.
type Arrival struct {
	ArrivedAt  time.Time
	CPUSeconds float64 // CPU seconds, as expected
}

// ExpectedLoad is how many CPUs a class is likely to use at once: the mean of what came
// within the window, and one deviation of it. Each job counts as spread over
// horizon, the time (seconds) it may take, so a class of few large urgent jobs
// deviates more than one of many small patient ones.
func ExpectedLoad(seen []Arrival, now time.Time, window time.Duration, horizon float64) float64 {
	var first time.Time
	sum, squares := 0.0, 0.0
	for _, arrival := range seen {
		if now.Sub(arrival.ArrivedAt) > window {
			continue
		}
		if first.IsZero() || arrival.ArrivedAt.Before(first) {
			first = arrival.ArrivedAt
		}
		sum += arrival.CPUSeconds
		squares += arrival.CPUSeconds * arrival.CPUSeconds
	}
	if first.IsZero() || horizon <= 0 {
		return 0
	}
	// A class seen for less than its horizon tells nothing of its rate yet.
	span := max(now.Sub(first).Seconds(), horizon)
	return sum/span + math.Sqrt(squares/(horizon*span))
}
