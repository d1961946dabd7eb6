package forecast

import (
	"testing"
	"time"
)

func TestAClassOfFewLargeJobsDeviatesMore(t *testing.T) {
	now := time.Now()
	var small, large []Arrival
	for i := range 100 {
		at := now.Add(-time.Duration(i) * time.Second)
		small = append(small, Arrival{at, 600})
		if i%25 == 0 {
			large = append(large, Arrival{at, 15000})
		}
	}
	few, many := ExpectedLoad(large, now, 2*time.Minute, 30), ExpectedLoad(small, now, 2*time.Minute, 30)
	if many < 600 || many > 900 || few < 1.2*many {
		t.Errorf("the same work in few large jobs %v, in many small ones %v CPUs", few, many)
	}
	if x := ExpectedLoad(small, now.Add(time.Hour), 2*time.Minute, 30); x != 0 {
		t.Errorf("%v CPUs expected of what came an hour ago", x)
	}
	if x := ExpectedLoad([]Arrival{{now, 3000}}, now, 2*time.Minute, 30); x > 250 {
		t.Errorf("one job just now makes %v CPUs", x)
	}
}
