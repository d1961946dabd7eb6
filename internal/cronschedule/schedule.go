// Package cronschedule computes the times of schedules. A schedule is a cron expression in a named time zone.
package cronschedule

import (
	"errors"
	"fmt"
	"strings"
	"time"
	_ "time/tzdata" // makes the time zones available on machines without zone files

	"github.com/robfig/cron/v3"
)

// Errors that Parse returns. Their texts are shown to users. For unknown zones and malformed expressions, Parse
// returns other errors.
var (
	ErrZoneMissing       = errors.New("zone: missing; must be the name of a time zone such as Europe/Zurich")
	ErrUnsupportedForm   = errors.New("cron: must have five fields, or be @hourly, @daily, @weekly, @monthly or @yearly; set the time zone with zone")
	ErrNoTimeInFiveYears = errors.New("cron: the expression matches no time within five years")
)

const (
	// maxClockAdvance is the maximum time by which a zone is expected to put its clocks forward at once.
	maxClockAdvance = 3 * time.Hour
	// maxMissedTimes is the maximum number of missed times that Due computes one by one.
	maxMissedTimes = 10_000
)

// Schedule is a cron expression of five fields in a zone. If the zone skips a time of day when its clocks are
// put forward, the schedule is due at the change instead. If a time of day occurs twice because the clocks are
// put back, the schedule is due only at the first occurrence. Expressions that match every hour follow the
// elapsed time instead: "every ten minutes" is due every ten minutes, also in the hour that occurs twice.
type Schedule struct {
	zone             *time.Location
	spec             cron.SpecSchedule // its location is not used; nextInLocation sets one in a copy
	matchesEveryHour bool
}

var cronParser = cron.NewParser(cron.Minute | cron.Hour | cron.Dom | cron.Month | cron.Dow | cron.Descriptor)

// Parse parses an expression of five fields, or a descriptor such as @daily, in a named zone. It returns
// an error for an expression that matches no time within five years, such as the 30th of February.
func Parse(expression, zone string) (*Schedule, error) {
	if zone == "" {
		return nil, ErrZoneMissing
	}
	location, err := time.LoadLocation(zone)
	if err != nil || zone == "Local" {
		return nil, fmt.Errorf("zone: unknown %q; must be the name of a time zone such as Europe/Zurich", zone)
	}
	if strings.Contains(expression, "TZ=") || strings.HasPrefix(expression, "@every") {
		return nil, ErrUnsupportedForm
	}
	parsed, err := cronParser.Parse(expression)
	if err != nil {
		return nil, fmt.Errorf("cron: %w", err)
	}
	spec, ok := parsed.(*cron.SpecSchedule)
	if !ok {
		return nil, ErrUnsupportedForm
	}
	schedule := &Schedule{zone: location, spec: *spec, matchesEveryHour: matchesEveryHour(expression)}
	if schedule.Next(time.Now()).IsZero() {
		return nil, ErrNoTimeInFiveYears
	}
	return schedule, nil
}

func matchesEveryHour(expression string) bool {
	fields := strings.Fields(expression)
	return expression == "@hourly" || len(fields) == 5 && strings.HasPrefix(fields[1], "*")
}

// Next returns the first time of the schedule after start. It returns the zero time if there is none within five
// years.
func (s *Schedule) Next(start time.Time) time.Time {
	if s.matchesEveryHour {
		return s.nextInLocation(s.zone, start.In(s.zone))
	}
	// Search in wall clock time, as if the zone never changed its clocks. In the zone itself, the cron library
	// would skip times that do not exist, and would return both occurrences of times that occur twice.
	wallClock := toWallClock(start.In(s.zone))
	for {
		wallClock = s.nextInLocation(time.UTC, wallClock)
		if wallClock.IsZero() {
			return wallClock
		}
		if next := s.firstInstant(wallClock); next.After(start) {
			return next
		}
		// This time of day occurs twice, and its first occurrence is not after start. Continue the search.
	}
}

func (s *Schedule) nextInLocation(location *time.Location, start time.Time) time.Time {
	spec := s.spec
	spec.Location = location
	return spec.Next(start)
}

// toWallClock returns the date and time of day that the clocks of t's zone show at t, as a time in UTC.
func toWallClock(t time.Time) time.Time {
	return time.Date(t.Year(), t.Month(), t.Day(), t.Hour(), t.Minute(), t.Second(), t.Nanosecond(), time.UTC)
}

// firstInstant returns the first instant at which the clocks of the zone show wallClock. If they skip that
// time, it returns the instant at which they are put forward.
func (s *Schedule) firstInstant(wallClock time.Time) time.Time {
	instant := time.Date(wallClock.Year(), wallClock.Month(), wallClock.Day(), wallClock.Hour(), wallClock.Minute(), wallClock.Second(), 0, s.zone)
	matches := func(t time.Time) bool { return t.Hour() == wallClock.Hour() && t.Minute() == wallClock.Minute() }
	start, end := instant.ZoneBounds()
	if !matches(instant) { // the clocks skip wallClock when they are put forward
		if !start.IsZero() && instant.Sub(start) < maxClockAdvance {
			return start
		}
		return end
	}
	if start.IsZero() {
		return instant
	}
	_, offset := instant.Zone()
	_, offsetBefore := start.Add(-time.Second).Zone()
	earlierOccurrence := instant.Add(time.Duration(offset-offsetBefore) * time.Second)
	if earlierOccurrence.Before(instant) && earlierOccurrence.Before(start) && matches(earlierOccurrence) {
		return earlierOccurrence
	}
	return instant
}

// Due returns the time that is due and the first time of the schedule after now. next is the earliest time of the
// schedule that was not handled yet; it must not be after now. If several times were missed, for example during
// an outage, only the last of them is due.
func (s *Schedule) Due(next, now time.Time) (dueAt, nextAt time.Time) {
	dueAt = next
	for range maxMissedTimes {
		followingTime := s.Next(dueAt)
		if followingTime.IsZero() || followingTime.After(now) {
			return dueAt, followingTime
		}
		dueAt = followingTime
	}
	return dueAt, s.Next(now) // more than maxMissedTimes times were missed: dueAt is not the last of them
}
