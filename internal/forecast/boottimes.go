package forecast

import (
	"math"
	"slices"
	"time"
)

const (
	// minSamples is the number of recent boots that are always kept. The median shows a change of
	// the boot time once half of these boots took place after the change.
	minSamples = 9
	// maxSamples is the maximum number of boots that are kept.
	maxSamples = 512
	// batchWindow is the maximum time between two requests whose boots count as one batch. All boots
	// of the latest batch are kept: when hundreds of machines are requested together, the slowest
	// boot last, and while more than minSamples of them are still pending, the last minSamples boots
	// alone would give too long a boot time.
	batchWindow = 2 * time.Minute
	// priorWeight is the number of observed boots that have the same weight as the initial estimate.
	priorWeight = 2
	// minZoneSamples is the minimum number of boots in a zone for which only the boots in this zone
	// are used, instead of the boots in all zones.
	minZoneSamples = 4
	// lateFactor is the multiple of the boot time above which a pending machine counts as late.
	lateFactor = 1.5
	// lostFactor is the multiple of the expected boot time from which on PendingWeight gives a
	// pending machine the weight 0.
	lostFactor = 4
)

// TypeZone is a machine type in a zone.
type TypeZone struct{ MachineType, Zone string }

// zoneKey returns the key of the samples of this machine type in this zone. The samples of a
// machine type from all zones together have the machine type as their key.
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

// HasSamples reports whether the boot of any machine of this type was observed.
func (b *BootTimes) HasSamples(machineType string) bool { return len(b.samples[machineType]) > 0 }

// ExpectedSeconds returns the expected boot time in seconds. It is the median of the recent boots
// and of initialSeconds, the initial estimate. The recent boots are the last nine boots and all
// boots of machines that were requested at most two minutes before the latest one.
//
// pendingAges are the ages of the pending machines in seconds. A pending machine that is already
// late counts as a boot that takes as long as its age. So the expected time grows with these ages if
// most machines are late, but not if a few machines never boot while others do. Only pending machines
// that were requested no earlier than the machines of the recent boots count: a few machines that
// were lost long ago say nothing about those requested now.
func (b *BootTimes) ExpectedSeconds(typeZone TypeZone, initialSeconds float64, pendingAges []float64, now time.Time) float64 {
	samples := b.samples[typeZone.MachineType]
	if zoneSamples := b.samples[typeZone.zoneKey()]; len(zoneSamples) >= minZoneSamples {
		samples = zoneSamples
	}
	var seconds []float64
	oldestRequestAge := math.Inf(1) // age of the oldest request among the samples
	for i, sample := range samples {
		seconds = append(seconds, sample.seconds)
		if ageSeconds := now.Sub(sample.requestedAt).Seconds(); i == 0 || ageSeconds > oldestRequestAge {
			oldestRequestAge = ageSeconds
		}
	}
	for range priorWeight {
		seconds = append(seconds, initialSeconds)
	}
	medianBootSeconds := median(seconds)
	for _, ageSeconds := range pendingAges {
		if ageSeconds > lateFactor*medianBootSeconds && ageSeconds <= oldestRequestAge {
			seconds = append(seconds, ageSeconds)
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

// PendingWeight returns the weight, from 0 to 1, with which a pending machine of the given age
// counts. The longer the machine is overdue, the less it counts.
func PendingWeight(ageSeconds, expectedSeconds float64) float64 {
	relativeAge := ageSeconds / max(expectedSeconds, 1)
	return min(1, max(0, (lostFactor-relativeAge)/(lostFactor-lateFactor)))
}
