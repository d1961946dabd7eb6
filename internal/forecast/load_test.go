package forecast

import (
	"testing"
	"time"
)

func TestExpectedLoadIsHigherForFewLargeJobs(t *testing.T) {
	now := time.Now()
	var small, large []Arrival
	for i := range 100 {
		arrivedAt := now.Add(-time.Duration(i) * time.Second)
		small = append(small, Arrival{arrivedAt, 600})
		if i%25 == 0 {
			large = append(large, Arrival{arrivedAt, 15000})
		}
	}
	const window = 2 * time.Minute
	few, many := ExpectedLoad(large, now, window, 30), ExpectedLoad(small, now, window, 30)
	if many < 600 || many > 900 || few < 1.2*many {
		t.Errorf("expected CPUs of the same work: %v in few large jobs, %v in many small ones", few, many)
	}
	if load := ExpectedLoad(small, now.Add(time.Hour), window, 30); load != 0 {
		t.Errorf("%v CPUs expected of arrivals an hour ago", load)
	}
	if load := ExpectedLoad([]Arrival{{now, 3000}}, now, window, 30); load > 250 {
		t.Errorf("%v CPUs expected of one recent arrival", load)
	}
}
