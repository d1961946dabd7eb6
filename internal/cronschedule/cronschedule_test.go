package cronschedule

import (
	"testing"
	"time"
)

func TestSchedulesFollowTheClocksOfTheirZone(t *testing.T) {
	zurich, err := time.LoadLocation("Europe/Zurich")
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		expr, after string // in Zurich, with the offset to tell the hour that comes twice
		want        []string
	}{
		{"30 17 * * *", "2026-12-01T18:00:00+01:00", []string{"2026-12-02T17:30:00+01:00", "2026-12-03T17:30:00+01:00"}},
		// 29 March 2026: from 02:00 to 03:00.
		{"30 2 * * *", "2026-03-28T12:00:00+01:00", []string{"2026-03-29T03:00:00+02:00", "2026-03-30T02:30:00+02:00"}},
		{"0 3 * * *", "2026-03-28T12:00:00+01:00", []string{"2026-03-29T03:00:00+02:00", "2026-03-30T03:00:00+02:00"}},
		{"*/30 * * * *", "2026-03-29T01:15:00+01:00", []string{"2026-03-29T01:30:00+01:00", "2026-03-29T03:00:00+02:00", "2026-03-29T03:30:00+02:00"}},
		// 25 October 2026: from 03:00 back to 02:00.
		{"30 2 * * *", "2026-10-24T12:00:00+02:00", []string{"2026-10-25T02:30:00+02:00", "2026-10-26T02:30:00+01:00"}},
		{"30 2 * * *", "2026-10-25T02:45:00+02:00", []string{"2026-10-26T02:30:00+01:00"}},
		{"30 2 * * *", "2026-10-25T02:15:00+01:00", []string{"2026-10-26T02:30:00+01:00"}},
		{"0 4 * * *", "2026-10-25T02:15:00+01:00", []string{"2026-10-25T04:00:00+01:00"}},
		{"*/30 * * * *", "2026-10-25T02:15:00+02:00", []string{"2026-10-25T02:30:00+02:00", "2026-10-25T02:00:00+01:00", "2026-10-25T02:30:00+01:00"}},
		{"0 6 29 2 *", "2026-03-01T00:00:00+01:00", []string{"2028-02-29T06:00:00+01:00"}},
	} {
		c, err := Parse(x.expr, "Europe/Zurich")
		if err != nil {
			t.Fatal(err)
		}
		at, err := time.Parse(time.RFC3339, x.after)
		if err != nil {
			t.Fatal(err)
		}
		for _, want := range x.want {
			at = c.Next(at)
			if got := at.In(zurich).Format(time.RFC3339); got != want {
				t.Errorf("%s after %s: %s, want %s", x.expr, x.after, got, want)
				break
			}
		}
	}
	for expr, zone := range map[string]string{"* * * *": "UTC", "0 0 30 2 *": "UTC", "0 25 * * *": "UTC", "@every 1s": "UTC", "0 1 * * *": "Mars/Base",
		"0 2 * * *": ""} {
		if _, err := Parse(expr, zone); err == nil {
			t.Errorf("%q in %q is taken", expr, zone)
		}
	}
}

// A schedule that was missed for hours is due once, at its last time.
func TestAMissedScheduleIsDueOnce(t *testing.T) {
	c, err := Parse("*/10 * * * *", "UTC")
	if err != nil {
		t.Fatal(err)
	}
	noon := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	last, then := c.Due(noon, noon.Add(3*time.Hour+4*time.Minute))
	if last != noon.Add(3*time.Hour) || then != noon.Add(3*time.Hour+10*time.Minute) {
		t.Errorf("due at %v, then at %v", last, then)
	}
}
