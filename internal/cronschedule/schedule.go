// Package cronschedule computes the times of schedules: cron expressions in named time zones.
package cronschedule

import (
	"errors"
	"fmt"
	"strings"
	"time"
	_ "time/tzdata" // for machines without zone files

	"github.com/robfig/cron/v3"
)

// The errors of Parse. Their texts are shown to users. For unknown zones and malformed expressions Parse
// returns other errors.
var (
	ErrZoneMissing       = errors.New("zone: missing, such as Europe/Zurich")
	ErrUnsupportedForm   = errors.New("cron: five fields, or @hourly, @daily, @weekly, @monthly, @yearly; the zone is said apart")
	ErrNoTimeInFiveYears = errors.New("cron: there is no such time within five years")
)

const (
	// maxZoneChange bounds by how much a zone is expected to put its clocks forward at once.
	maxZoneChange = 3 * time.Hour
	// maxMissedTimes limits how many missed times Due goes through one by one.
	maxMissedTimes = 10_000
)

// Schedule is the times of a cron expression of five fields in a zone. A time of day that the zone
// skips when its clocks are put forward is due at the change; one that occurs twice is due the
// first time. For expressions that apply to every hour elapsed time counts instead: "every ten minutes"
// is due every ten minutes also in the hour that occurs twice.
type Schedule struct {
	zone      *time.Location
	spec      cron.SpecSchedule // nextIn sets its location for each use
	everyHour bool
}

var cronParser = cron.NewParser(cron.Minute | cron.Hour | cron.Dom | cron.Month | cron.Dow | cron.Descriptor)

// Parse parses an expression of five fields, or a descriptor such as @daily, in a named zone. It returns
// an error for an expression without a time within five years, as for the 30th of February.
func Parse(expression, zone string) (*Schedule, error) {
	if zone == "" {
		return nil, ErrZoneMissing
	}
	location, err := time.LoadLocation(zone)
	if err != nil || zone == "Local" {
		return nil, fmt.Errorf("zone: unknown %q; such as Europe/Zurich", zone)
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
	schedule := &Schedule{zone: location, spec: *spec, everyHour: appliesToEveryHour(expression)}
	if schedule.Next(time.Now()).IsZero() {
		return nil, ErrNoTimeInFiveYears
	}
	return schedule, nil
}

func appliesToEveryHour(expression string) bool {
	fields := strings.Fields(expression)
	return expression == "@hourly" || len(fields) == 5 && strings.HasPrefix(fields[1], "*")
}

// Next returns the first time after a moment; zero if there is none within five years.
func (s *Schedule) Next(after time.Time) time.Time {
	if s.everyHour {
		return s.nextIn(s.zone, after.In(s.zone))
	}
	// Search on the wall clock as if the zone never changed its clocks: the cron library skips times
	// that do not exist in a zone, and finds those twice that occur twice.
	wallClock := onWallClock(after.In(s.zone))
	for {
		wallClock = s.nextIn(time.UTC, wallClock)
		if wallClock.IsZero() {
			return wallClock
		}
		if next := s.firstInstant(wallClock); next.After(after) {
			return next
		}
		// The wall clock shows this time once more; the first occurrence has passed.
	}
}

func (s *Schedule) nextIn(location *time.Location, after time.Time) time.Time {
	spec := s.spec
	spec.Location = location
	return spec.Next(after)
}

// onWallClock returns what the clocks show at a time, as a time in UTC.
func onWallClock(t time.Time) time.Time {
	return time.Date(t.Year(), t.Month(), t.Day(), t.Hour(), t.Minute(), t.Second(), t.Nanosecond(), time.UTC)
}

// firstInstant returns the first moment at which the clocks of the zone show a time. If they skip the
// time, it returns the moment of the change.
func (s *Schedule) firstInstant(wallClock time.Time) time.Time {
	at := time.Date(wallClock.Year(), wallClock.Month(), wallClock.Day(), wallClock.Hour(), wallClock.Minute(), wallClock.Second(), 0, s.zone)
	shows := func(t time.Time) bool { return t.Hour() == wallClock.Hour() && t.Minute() == wallClock.Minute() }
	start, end := at.ZoneBounds()
	if !shows(at) { // skipped: there is a change nearby
		if !start.IsZero() && at.Sub(start) < maxZoneChange {
			return start
		}
		return end
	}
	if start.IsZero() {
		return at
	}
	_, offset := at.Zone()
	_, offsetBefore := start.Add(-time.Second).Zone()
	earlier := at.Add(time.Duration(offset-offsetBefore) * time.Second)
	if earlier.Before(at) && earlier.Before(start) && shows(earlier) {
		return earlier
	}
	return at
}

// Due returns which time is due, given the next one that was planned, which has passed, and the first
// time after now. If several times were missed, as in an outage, only the last of them is due.
func (s *Schedule) Due(next, now time.Time) (dueAt, nextAt time.Time) {
	dueAt = next
	for range maxMissedTimes {
		following := s.Next(dueAt)
		if following.IsZero() || following.After(now) {
			return dueAt, following
		}
		dueAt = following
	}
	return dueAt, s.Next(now) // more than maxMissedTimes were missed: dueAt is not the last of them
}
