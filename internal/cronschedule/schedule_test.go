package cronschedule

import (
	"errors"
	"testing"
	"time"
)

func TestNextAtClockChanges(t *testing.T) {
	zurich, err := time.LoadLocation("Europe/Zurich")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		expression string
		after      string // in Zurich; the offset distinguishes the two occurrences of the hour that occurs twice
		want       []string
	}{
		{"30 17 * * *", "2026-12-01T18:00:00+01:00", []string{"2026-12-02T17:30:00+01:00", "2026-12-03T17:30:00+01:00"}},
		// On 29 March 2026 the clocks are put forward from 02:00 to 03:00.
		{"30 2 * * *", "2026-03-28T12:00:00+01:00", []string{"2026-03-29T03:00:00+02:00", "2026-03-30T02:30:00+02:00"}},
		{"0 3 * * *", "2026-03-28T12:00:00+01:00", []string{"2026-03-29T03:00:00+02:00", "2026-03-30T03:00:00+02:00"}},
		{"*/30 * * * *", "2026-03-29T01:15:00+01:00", []string{"2026-03-29T01:30:00+01:00", "2026-03-29T03:00:00+02:00", "2026-03-29T03:30:00+02:00"}},
		// On 25 October 2026 the clocks are put back from 03:00 to 02:00.
		{"30 2 * * *", "2026-10-24T12:00:00+02:00", []string{"2026-10-25T02:30:00+02:00", "2026-10-26T02:30:00+01:00"}},
		{"30 2 * * *", "2026-10-25T02:45:00+02:00", []string{"2026-10-26T02:30:00+01:00"}},
		{"30 2 * * *", "2026-10-25T02:15:00+01:00", []string{"2026-10-26T02:30:00+01:00"}},
		{"0 4 * * *", "2026-10-25T02:15:00+01:00", []string{"2026-10-25T04:00:00+01:00"}},
		{"*/30 * * * *", "2026-10-25T02:15:00+02:00", []string{"2026-10-25T02:30:00+02:00", "2026-10-25T02:00:00+01:00", "2026-10-25T02:30:00+01:00"}},
		{"0 6 29 2 *", "2026-03-01T00:00:00+01:00", []string{"2028-02-29T06:00:00+01:00"}},
	} {
		t.Run(c.expression+" after "+c.after, func(t *testing.T) {
			schedule, err := Parse(c.expression, "Europe/Zurich")
			if err != nil {
				t.Fatal(err)
			}
			instant, err := time.Parse(time.RFC3339, c.after)
			if err != nil {
				t.Fatal(err)
			}
			for _, want := range c.want {
				instant = schedule.Next(instant)
				if got := instant.In(zurich).Format(time.RFC3339); got != want {
					t.Fatalf("%s, want %s", got, want)
				}
			}
		})
	}
}

func TestParseRejectsInvalidSchedules(t *testing.T) {
	for expression, zone := range map[string]string{
		"* * * *":    "UTC",
		"0 0 30 2 *": "UTC",
		"0 25 * * *": "UTC",
		"@every 1s":  "UTC",
		"0 1 * * *":  "Mars/Base",
		"0 2 * * *":  "",
	} {
		if _, err := Parse(expression, zone); err == nil {
			t.Errorf("%q in %q is accepted", expression, zone)
		}
	}
}

// A schedule whose times were missed for hours is due once, at the last of them.
func TestMissedTimesAreDueOnce(t *testing.T) {
	schedule, err := Parse("*/10 * * * *", "UTC")
	if err != nil {
		t.Fatal(err)
	}
	noon := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	dueAt, nextAt := schedule.Due(noon, noon.Add(3*time.Hour+4*time.Minute))
	if dueAt != noon.Add(3*time.Hour) || nextAt != noon.Add(3*time.Hour+10*time.Minute) {
		t.Errorf("due at %v, then at %v", dueAt, nextAt)
	}
}

func TestParseReturnsDocumentedErrors(t *testing.T) {
	for _, c := range []struct {
		expression, zone string
		want             error
	}{
		{"0 2 * * *", "", ErrZoneMissing},
		{"@every 1s", "UTC", ErrUnsupportedForm},
		{"TZ=UTC 0 2 * * *", "UTC", ErrUnsupportedForm},
		{"0 0 30 2 *", "UTC", ErrNoTimeInFiveYears},
	} {
		if _, err := Parse(c.expression, c.zone); !errors.Is(err, c.want) {
			t.Errorf("%q in %q: %v, want %v", c.expression, c.zone, err, c.want)
		}
	}
}
