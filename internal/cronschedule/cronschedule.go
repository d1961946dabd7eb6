// Package calendar tells the times of schedules: cron expressions in named time zones.
package cronschedule

import (
	"errors"
	"fmt"
	"strings"
	"time"
	_ "time/tzdata" // machines without zone files know the zones as well

	"github.com/robfig/cron/v3"
)

// Schedule tells the times of a schedule: a cron expression of five fields in a named
// zone. A time of day that a change of the clocks leaves out is due when they have
// changed, one that comes twice is due the first time. Where any hour will do, real time
// counts, as people expect of "every ten minutes".
type Schedule struct {
	zone      *time.Location
	wallClock cron.Schedule // without a zone
	everyHour bool
}

var cronParser = cron.NewParser(cron.Minute | cron.Hour | cron.Dom | cron.Month | cron.Dow | cron.Descriptor)

// Parse reads an expression of five fields, or one such as @daily; an error names what is wrong.
func Parse(expr, zone string) (*Schedule, error) {
	if zone == "" {
		return nil, errors.New("zone: missing, such as Europe/Zurich")
	}
	loc, err := time.LoadLocation(zone)
	if err != nil || zone == "Local" {
		return nil, fmt.Errorf("zone: unknown %q; such as Europe/Zurich", zone)
	}
	if strings.Contains(expr, "TZ=") || strings.HasPrefix(expr, "@every") {
		return nil, errors.New("cron: five fields, or @hourly, @daily, @weekly, @monthly, @yearly; the zone is said apart")
	}
	s, err := cronParser.Parse(expr)
	if err != nil {
		return nil, fmt.Errorf("cron: %w", err)
	}
	f := strings.Fields(expr)
	c := &Schedule{zone: loc, wallClock: s, everyHour: expr == "@hourly" || len(f) == 5 && strings.HasPrefix(f[1], "*")}
	if c.Next(time.Now()).IsZero() {
		return nil, errors.New("cron: there is no such time within five years")
	}
	return c, nil
}

// Next is the first time after a moment; zero if there is none within five years.
func (c *Schedule) Next(after time.Time) time.Time {
	if c.everyHour {
		if s, ok := c.wallClock.(*cron.SpecSchedule); ok {
			in := *s
			in.Location = c.zone
			return in.Next(after.In(c.zone))
		}
	}
	// By the wall clock, as if its zone knew no changes.
	w := after.In(c.zone)
	from := time.Date(w.Year(), w.Month(), w.Day(), w.Hour(), w.Minute(), w.Second(), w.Nanosecond(), time.UTC)
	if s, ok := c.wallClock.(*cron.SpecSchedule); ok {
		in := *s
		in.Location = time.UTC
		for {
			n := in.Next(from)
			if n.IsZero() {
				return n
			}
			if at := c.firstInstant(n); at.After(after) {
				return at
			}
			from = n // the first of two such times is over
		}
	}
	return time.Time{}
}

// firstInstant is the first moment at which the clocks of the zone show a time of day, or have
// passed it.
func (c *Schedule) firstInstant(wall time.Time) time.Time {
	at := time.Date(wall.Year(), wall.Month(), wall.Day(), wall.Hour(), wall.Minute(), wall.Second(), 0, c.zone)
	shows := func(t time.Time) bool { return t.Hour() == wall.Hour() && t.Minute() == wall.Minute() }
	if !shows(at) { // left out: the change is near
		start, end := at.ZoneBounds()
		if d := at.Sub(start); !start.IsZero() && d < 3*time.Hour {
			return start
		}
		return end
	}
	if start, _ := at.ZoneBounds(); !start.IsZero() {
		_, now := at.Zone()
		_, before := start.Add(-time.Second).Zone()
		if early := at.Add(time.Duration(now-before) * time.Second); early.Before(at) && early.Before(start) && shows(early) {
			return early
		}
	}
	return at
}

// Due is the last time that has come since the next one was reckoned, and the one after
// now: after an outage it is done once, not as often as it was missed.
func (c *Schedule) Due(next, now time.Time) (last, then time.Time) {
	last = next
	for range 10_000 {
		n := c.Next(last)
		if n.IsZero() || n.After(now) {
			return last, n
		}
		last = n
	}
	return last, c.Next(now) // very often, and very long ago
}
