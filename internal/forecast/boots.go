package forecast

import (
	"math"
	"slices"
	"time"
)

// BootTimes learns how long machines take from the order to their first report, by
// type and by type and zone. What was stated is where it begins.
type BootTimes struct {
	samples map[string][]bootSample // the latest last
}

// bootSample is one machine that came up.
type bootSample struct {
	requestedAt time.Time
	seconds     float64 // seconds
}

// TypeZone is a type of machine, or one in a zone.
type TypeZone struct{ MachineType, Zone string }

func (typeZone TypeZone) keys() []string {
	return []string{typeZone.MachineType + "/" + typeZone.Zone, typeZone.MachineType}
}

const (
	minSamples  = 9 // boots remembered at least: a change shows after half of them
	maxSamples  = 512
	priorWeight = 2 // how many boots the stated time is worth
	// batchWindow are orders so near each other that their boots are weighed as one: of
	// hundreds the last to come up are the slowest, and those still awaited are more
	// than nine.
	batchWindow    = 2 * time.Minute
	minZoneSamples = 4 // boots in the zone itself that outweigh those elsewhere
	lateFactor     = 1.5
)

// Observe notes that a machine has come up, and how long it took from its order.
func (b *BootTimes) Observe(typeZone TypeZone, requestedAt time.Time, took time.Duration) {
	if b.samples == nil {
		b.samples = map[string][]bootSample{}
	}
	for _, k := range typeZone.keys() {
		s := append(b.samples[k], bootSample{requestedAt, max(took.Seconds(), 1)})
		s = s[max(0, len(s)-maxSamples):]
		for len(s) > minSamples && requestedAt.Sub(s[0].requestedAt) > batchWindow {
			s = s[1:]
		}
		b.samples[k] = s
	}
}

// HasSamples tells whether a boot of the type was seen.
func (b *BootTimes) HasSamples(build string) bool { return len(b.samples[build]) > 0 }

// ExpectedSeconds is the usual time, in seconds: the middle one of the latest boots (of
// all that were ordered within two minutes, at least nine) and of what is stated. Machines that are late already (ages of those still awaited)
// count as taking at least so long; so if most are late, it grows with them, and
// if some never come while others do, it does not.
//
// Only those ordered no earlier than the boots that are remembered are weighed
// against them: a few lost long ago say nothing of those that are ordered now.
func (b *BootTimes) ExpectedSeconds(typeZone TypeZone, stated float64, awaited []float64, now time.Time) float64 {
	seen := b.samples[typeZone.MachineType]
	if own := b.samples[typeZone.keys()[0]]; len(own) >= minZoneSamples {
		seen = own
	}
	var all []float64
	oldest := math.Inf(1) // age of the oldest order that is remembered
	for i, sample := range seen {
		all = append(all, sample.seconds)
		if age := now.Sub(sample.requestedAt).Seconds(); i == 0 || age > oldest {
			oldest = age
		}
	}
	for range priorWeight {
		all = append(all, stated)
	}
	slices.Sort(all)
	usual := all[len(all)/2]
	for _, age := range awaited {
		if age > lateFactor*usual && age <= oldest {
			all = append(all, age)
		}
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// PendingWeight is how much a machine that was ordered so long ago still counts, from 1
// to 0: one that is overdue ever less.
func PendingWeight(age, usual float64) float64 {
	const doubt, lost = 1.5, 4 // times the usual time
	return min(1, max(0, (lost-age/max(usual, 1))/(lost-doubt)))
}
