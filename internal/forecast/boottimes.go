package forecast

import (
	"math"
	"slices"
	"time"
)

const (
	// minSamples is the number of recent boots that are kept in any case: a change shows after
	// half of them.
	minSamples = 9
	// maxSamples bounds the boots that are kept.
	maxSamples = 512
	// batchWindow is the time between requests whose boots are weighed together. Of hundreds of
	// machines the last to boot are the slowest, and those still pending then are more than
	// minSamples.
	batchWindow = 2 * time.Minute
	// priorWeight is the number of boots that the initial estimate counts as.
	priorWeight = 2
	// minZoneSamples is the number of boots in a zone that replace those of all zones.
	minZoneSamples = 4
	// lateFactor times the median boot time is the age from which a pending machine is late.
	lateFactor = 1.5
	// lostFactor times the expected boot time is the age from which a pending machine no longer
	// counts at all.
	lostFactor = 4
)

// TypeZone is a machine type in a zone.
type TypeZone struct{ MachineType, Zone string }

// zoneKey is the key of the samples of this zone. Those of all zones have the machine type as
// their key.
func (t TypeZone) zoneKey() string { return t.MachineType + "/" + t.Zone }

// BootTimes learns the boot times of machines, from the scale-out request to the first
// heartbeat, by machine type and zone. The zero value is ready to use. It has no locks.
type BootTimes struct {
	samples map[string][]bootSample // by type and by type and zone, the latest last
}

// bootSample is one machine that has booted.
type bootSample struct {
	requestedAt time.Time
	seconds     float64
}

// Observe adds a machine that has booted.
func (b *BootTimes) Observe(typeZone TypeZone, requestedAt time.Time, bootTime time.Duration) {
	if b.samples == nil {
		b.samples = map[string][]bootSample{}
	}
	sample := bootSample{requestedAt, max(bootTime.Seconds(), 1)}
	for _, key := range []string{typeZone.zoneKey(), typeZone.MachineType} {
		samples := b.samples[key]
		samples = append(samples, sample)
		samples = samples[max(0, len(samples)-maxSamples):]
		for len(samples) > minSamples && requestedAt.Sub(samples[0].requestedAt) > batchWindow {
			samples = samples[1:]
		}
		b.samples[key] = samples
	}
}

// HasSamples reports whether a machine of the type has booted.
func (b *BootTimes) HasSamples(machineType string) bool { return len(b.samples[machineType]) > 0 }

// ExpectedSeconds returns the expected boot time in seconds: the median of the recent boots (of
// all that were requested within two minutes, at least nine) and of the initial estimate.
//
// Pending machines that are late already, given by their ages in seconds, count as taking at
// least that long. So if most machines are late, the expected time grows with them, and if some
// never boot while others do, it does not. Only machines that were requested no earlier than the
// recent boots count: a few that were lost long ago say nothing about those requested now.
func (b *BootTimes) ExpectedSeconds(typeZone TypeZone, initial float64, pendingAges []float64, now time.Time) float64 {
	samples := b.samples[typeZone.MachineType]
	if inZone := b.samples[typeZone.zoneKey()]; len(inZone) >= minZoneSamples {
		samples = inZone
	}
	var seconds []float64
	oldestRequest := math.Inf(1) // age of the oldest request among the samples
	for i, sample := range samples {
		seconds = append(seconds, sample.seconds)
		if age := now.Sub(sample.requestedAt).Seconds(); i == 0 || age > oldestRequest {
			oldestRequest = age
		}
	}
	for range priorWeight {
		seconds = append(seconds, initial)
	}
	usual := median(seconds)
	for _, age := range pendingAges {
		if age > lateFactor*usual && age <= oldestRequest {
			seconds = append(seconds, age)
		}
	}
	return median(seconds)
}

// median sorts the values and returns the middle one, the greater of two.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// PendingWeight returns the fraction, from 1 to 0, as which a pending machine of the given age
// counts: less the longer it is overdue. Both times are in seconds.
func PendingWeight(age, expectedBoot float64) float64 {
	relativeAge := age / max(expectedBoot, 1)
	return min(1, max(0, (lostFactor-relativeAge)/(lostFactor-lateFactor)))
}
