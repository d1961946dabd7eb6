// Package classes keeps what was seen of each class of jobs: when they came, how
// much they were, and how far the owners' estimates are off. The buffers that are
// kept for what is likely to come are sized by it.
package classes

import (
	"math"
	"slices"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/config"
	"cherrywall/internal/forecast"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// Book has no locks: one actor owns it.
type Book struct{ by map[string]*class }

type class struct {
	ratio    float64 // run time over estimate, moving mean
	n        int
	arrivals []arrival // in the order of their times
	last     *jobs.Record
}

type arrival struct {
	at    time.Time
	tasks int
	work  float64 // CPU seconds by the owner's estimate
}

// New makes an empty book.
func New() *Book { return &Book{map[string]*class{}} }

func (b *Book) class(name string) *class {
	c := b.by[name]
	if c == nil {
		c = &class{ratio: 1}
		b.by[name] = c
	}
	return c
}

// Arrived notes a job that is new here, which could run since a time of day (Unix ms).
func (b *Book) Arrived(rec *jobs.Record, sinceMS int64, now time.Time) {
	c := b.class(rec.Class)
	c.last = rec
	// Jobs read together at a start came at different times: taken for a burst, they
	// made the buffers several times too large.
	at := now
	if came := time.UnixMilli(sinceMS); sinceMS > 0 && came.Before(at) {
		at = came
	}
	x := arrival{at, rec.Tasks, float64(rec.Tasks) * rec.CPU * rec.EstimateS}
	i, _ := slices.BinarySearchFunc(c.arrivals, at.Add(1), func(y arrival, t time.Time) int { return y.at.Compare(t) })
	c.arrivals = slices.Insert(c.arrivals, i, x)
	if len(c.arrivals) > tuning.MaxArrivals {
		c.arrivals = c.arrivals[1:]
	}
}

// Learn corrects the owners' estimates, which are often biased for a day, by a task
// that ran for so many seconds.
func (b *Book) Learn(rec *jobs.Record, ran float64) {
	if rec.EstimateS <= 0 || ran <= 0 {
		return
	}
	c := b.class(rec.Class)
	w := max(1/float64(c.n+1), tuning.LearnLeast)
	c.ratio += w * (ran/rec.EstimateS - c.ratio)
	c.n++
}

// Expect is the corrected run time of a task, in seconds.
func (b *Book) Expect(rec *jobs.Record) float64 { return rec.EstimateS * b.ratio(rec.Class) }

// Span is how long a job is expected to take from the moment it may run, with room at hand,
// in seconds: its image, the slowest of its tasks, the reports and records between two
// stages. What waits for it can't start sooner.
func (b *Book) Span(rec *jobs.Record) float64 {
	slowest := 1 + tuning.SpanSpread*(1-1/float64(max(rec.Tasks, 1)))
	return b.Expect(rec)*slowest + tuning.SpanOver
}

// ratio is by how much the estimates of a class are corrected.
func (b *Book) ratio(name string) float64 {
	return min(max(b.class(name).ratio, tuning.RatioLeast), tuning.RatioMost)
}

// paused tells whether no more of a class are expected, after a pause much longer
// than usual: a cluster without work gives its machines back.
func (c *class) paused(now time.Time) bool {
	if len(c.arrivals) == 0 {
		return true
	}
	gap := now.Sub(c.arrivals[0].at) / time.Duration(len(c.arrivals))
	return now.Sub(c.arrivals[len(c.arrivals)-1].at) > min(max(2*gap, tuning.PauseLeast), tuning.PauseMost)
}

// urgent is the least priority that has a growth buffer.
var urgent = jobs.Highest() - 1

func (c *class) urgentGang() bool {
	return c.last != nil && c.last.Kind == jobs.Gang && c.last.Priority() >= urgent
}

// AnyUrgentGang tells whether the latest job of any class of urgent gangs is such.
func (b *Book) AnyUrgentGang(such func(rec *jobs.Record) bool) bool {
	for _, c := range b.by {
		if c.urgentGang() && such(c.last) {
			return true
		}
	}
	return false
}

// Growth is the paper's growth buffer (3.1) for one class: by how many tasks
// it is likely to grow while a machine boots.
type Growth struct {
	Rec  *jobs.Record
	Need capacity.Vec
	X    float64
}

// Running is a job that runs as a whole.
type Running struct {
	Class string
	Tasks int
	Runs  float64 // expected run time, seconds
}

// Growths sizes the buffers from what was seen. What arrives while a machine
// boots (boot seconds) finds the room of what ends meanwhile: only the difference
// has to be kept, and one deviation of both, of which large gangs are the most.
// Only classes above the lowest waiting kinds have a buffer: others wait for
// machines.
func (b *Book) Growths(now time.Time, boot, factor float64, running []Running) []Growth {
	var out []Growth
	for name, c := range b.by {
		if !c.urgentGang() || c.paused(now) {
			continue
		}
		tasks, squares := 0.0, 0.0
		for _, x := range c.arrivals {
			if now.Sub(x.at) < tuning.ArrivalWindow {
				tasks += float64(x.tasks)
				squares += float64(x.tasks * x.tasks)
			}
		}
		part := boot / max(min(now.Sub(c.arrivals[0].at), tuning.ArrivalWindow).Seconds(), boot)
		grow, spread := tasks*part, squares*part
		for _, r := range running {
			if r.Class != name {
				continue
			}
			n, ends := float64(r.Tasks), min(1, boot/max(r.Runs, 1))
			grow -= n * ends
			spread += n * n * ends * (1 - ends)
		}
		out = append(out, Growth{Rec: c.last, Need: c.last.Need(),
			X: factor * (max(0, grow) + math.Sqrt(spread))})
	}
	return out
}

// Load is what a class of arrays is expected to use, in CPUs.
type Load struct {
	Rec  *jobs.Record
	Peak float64
}

// Loads are the loads that arrays of classes with an aim are likely to bring.
func (b *Book) Loads(now time.Time, objectives []config.Objective, aimless func(rec *jobs.Record) bool) map[string]Load {
	out := map[string]Load{}
	for name, c := range b.by {
		if c.last == nil || c.last.Kind != jobs.Array || aimless(c.last) || c.paused(now) {
			continue
		}
		runs := b.Expect(c.last)
		seen := make([]forecast.Work, len(c.arrivals))
		for i, x := range c.arrivals {
			seen[i] = forecast.Work{At: x.at, CPU: x.work * b.ratio(name)}
		}
		horizon := max(config.DueIn(objectives, c.last.Class, c.last.DueS)*tuning.TargetPart-runs, runs)
		out[name] = Load{Rec: c.last, Peak: forecast.Load(seen, now, tuning.ArrivalWindow, horizon)}
	}
	return out
}
