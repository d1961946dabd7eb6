package pipeline

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"cherrywall/internal/tuning"

	"go.yaml.in/yaml/v3"
)

// duration is a length of time, which is written in a form such as "90s", "1h 30m" or "2 days".
type duration time.Duration

// durationPattern matches one number and its unit at the beginning of the text that is not yet parsed.
var durationPattern = regexp.MustCompile(`^\s*([0-9]+(?:\.[0-9]+)?)\s*([a-zA-Z]*)\s*(?:and|,)?`)

// A day always has 24 hours, even if the clocks are changed on that day.
const (
	day  = 24 * time.Hour
	week = 7 * day
)

var durationUnits = map[string]time.Duration{
	"": time.Second, "s": time.Second, "sec": time.Second, "secs": time.Second, "second": time.Second, "seconds": time.Second,
	"m": time.Minute, "min": time.Minute, "mins": time.Minute, "minute": time.Minute, "minutes": time.Minute,
	"h": time.Hour, "hr": time.Hour, "hrs": time.Hour, "hour": time.Hour, "hours": time.Hour,
	"d": day, "day": day, "days": day,
	"w": week, "week": week, "weeks": week,
}

// UnmarshalYAML implements yaml.Unmarshaler. A number without a unit is in seconds. The duration must be
// above 0 and at most tuning.MaxPipelineDuration.
func (d *duration) UnmarshalYAML(node *yaml.Node) error {
	const wrongForm = "must be a duration such as 90s or 1h 30m"
	rest, nanoseconds := node.Value, 0.0
	if node.Kind != yaml.ScalarNode || strings.TrimSpace(rest) == "" {
		return newPositionError(node, wrongForm)
	}
	for strings.TrimSpace(rest) != "" {
		match := durationPattern.FindStringSubmatch(rest)
		if match == nil {
			return newPositionError(node, wrongForm)
		}
		unit, isKnown := durationUnits[strings.ToLower(match[2])]
		if !isKnown {
			return newPositionError(node, fmt.Sprintf("unknown unit %q; s, m, h, d and w are known", match[2]))
		}
		var number float64
		if _, err := fmt.Sscan(match[1], &number); err != nil {
			return newPositionError(node, wrongForm)
		}
		nanoseconds += number * float64(unit)
		rest = rest[len(match[0]):]
	}
	if nanoseconds <= 0 || nanoseconds > float64(tuning.MaxPipelineDuration) {
		return newPositionError(node, "must be above 0 and at most 60 days")
	}
	*d = duration(nanoseconds)
	return nil
}
