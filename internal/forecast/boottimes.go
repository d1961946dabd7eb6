package forecast

import (
	"math"
	"slices"
	"time"
)

const (
	// minSamples is the number of recent boots that are always kept. A change of the boot time
	// shows once half of them are new.
	minSamples = 9
	// maxSamples is the maximum number of boots that are kept.
	maxSamples = 512
	// batchWindow is the time between requests whose boots count as one batch. When hundreds
	// of machines are requested together, the slowest machines boot last, and more than minSamples
	// machines are still pending then.
	batchWindow = 2 * time.Minute
	// priorWeight is the number of boots as which the initial estimate counts.
	priorWeight = 2
	// minZoneSamples is the number of boots in a zone from which only the boots in this zone are
	// used instead of those in all zones.
	minZoneSamples = 4
	// lateFactor times the median boot time is the age from which a pending machine counts as late.
	lateFactor = 1.5
	// lostFactor times the expected boot time is the age from which a pending machine has the
	// weight 0, see PendingWeight.
	lostFactor = 4
)

// TypeZone is a machine type in a zone.
type TypeZone struct{ MachineType, Zone string }

// zoneKey returns the key of the samples of this machine type in this zone. The samples of all
// zones have the machine type as their key.
func (t TypeZone) zoneKey() string { return t.MachineType + "/" + t.Zone }

// BootTimes learns the boot times of machines by machine type and zone. A boot time lasts from the
// scale-out request to the first heartbeat. The zero value is ready to use. BootTimes is not safe
// for concurrent use.
type BootTimes struct {
	samples map[string][]bootSample // by machine type and by zoneKey, in the order of observation
}

// bootSample is the boot of one machine.
type bootSample struct {
	requestedAt time.Time
	seconds     float64
}

// Observe adds the boot of a machine.
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

// HasSamples reports whether the boot of a machine of this type was observed.
func (b *BootTimes) HasSamples(machineType string) bool { return len(b.samples[machineType]) > 0 }

// ExpectedSeconds returns the expected boot time in seconds. It is the median of the recent boots
// and of the initial estimate in seconds. Recent boots are those of machines requested
// at most two minutes before the latest one, and always the last nine boots.
//
// Pending machines that are already late, given by their ages in seconds, count as boots that take
// at least that long. So the expected time grows with these ages if most machines are late, but not
// if a few machines never boot while others do. Only pending machines that were requested no
// earlier than the recent boots count: a few machines that were lost long ago say nothing about
// those requested now.
func (b *BootTimes) ExpectedSeconds(typeZone TypeZone, initial float64, pendingAges []float64, now time.Time) float64 {
	samples := b.samples[typeZone.MachineType]
	if zoneSamples := b.samples[typeZone.zoneKey()]; len(zoneSamples) >= minZoneSamples {
		samples = zoneSamples
	}
	var seconds []float64
	oldestRequestAge := math.Inf(1) // age of the oldest request among the samples
	for i, sample := range samples {
		seconds = append(seconds, sample.seconds)
		if age := now.Sub(sample.requestedAt).Seconds(); i == 0 || age > oldestRequestAge {
			oldestRequestAge = age
		}
	}
	for range priorWeight {
		seconds = append(seconds, initial)
	}
	medianBootSeconds := median(seconds)
	for _, age := range pendingAges {
		if age > lateFactor*medianBootSeconds && age <= oldestRequestAge {
			seconds = append(seconds, age)
		}
	}
	return median(seconds)
}

// median sorts the values and returns the middle one. If their number is even, it returns the
// greater of the two in the middle.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// PendingWeight returns the fraction, from 1 to 0, as which a pending machine of the given age
// counts. The longer the machine is overdue, the less it counts. Both times are in seconds.
func PendingWeight(age, expectedBoot float64) float64 {
	relativeAge := age / max(expectedBoot, 1)
	return min(1, max(0, (lostFactor-relativeAge)/(lostFactor-lateFactor)))
}
