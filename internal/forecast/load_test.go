package forecast

import (
	"testing"
	"time"
)

func TestExpectedLoadIsHigherForFewLargeJobs(t *testing.T) {
	now := time.Now()
	var smallJobs, largeJobs []Arrival
	for i := range 100 {
		arrivedAt := now.Add(-time.Duration(i) * time.Second)
		smallJobs = append(smallJobs, Arrival{arrivedAt, 600})
		if i%25 == 0 {
			largeJobs = append(largeJobs, Arrival{arrivedAt, 15000})
		}
	}
	const window = 2 * time.Minute
	fewJobsCPUs, manyJobsCPUs := ExpectedLoad(largeJobs, now, window, 30), ExpectedLoad(smallJobs, now, window, 30)
	if manyJobsCPUs < 600 || manyJobsCPUs > 900 || fewJobsCPUs < 1.2*manyJobsCPUs {
		t.Errorf("expected CPUs of the same work: %v in few large jobs, %v in many small ones", fewJobsCPUs, manyJobsCPUs)
	}
	if load := ExpectedLoad(smallJobs, now.Add(time.Hour), window, 30); load != 0 {
		t.Errorf("%v CPUs expected of arrivals an hour ago", load)
	}
	if load := ExpectedLoad([]Arrival{{now, 3000}}, now, window, 30); load > 250 {
		t.Errorf("%v CPUs expected of one recent arrival", load)
	}
}
