package forecast

import (
	"slices"
	"time"
)

// Boots learns how long machines take from the order to their first report, by
// type and by type and zone. What was stated is where it begins.
type Boots struct {
	seen map[string][]float64 // the latest last, in seconds
}

// Place is a type of machine, or one in a zone.
type Place struct{ Build, Zone string }

func (p Place) keys() []string { return []string{p.Build + "/" + p.Zone, p.Build} }

const (
	kept     = 9 // boots remembered: a change shows after half of them
	prior    = 2 // how many boots the stated time is worth
	ownZone  = 4 // boots in the zone itself that outweigh those elsewhere
	lateFrom = 1.5
)

// Up notes that a machine has come up.
func (b *Boots) Up(p Place, took time.Duration) {
	if b.seen == nil {
		b.seen = map[string][]float64{}
	}
	for _, k := range p.keys() {
		s := append(b.seen[k], max(took.Seconds(), 1))
		b.seen[k] = s[max(0, len(s)-kept):]
	}
}

// Any tells whether a boot of the type was seen.
func (b *Boots) Any(build string) bool { return len(b.seen[build]) > 0 }

// Expected is the usual time, in seconds: the middle one of the latest boots and
// of what is stated. Machines that are late already (ages of those still awaited)
// count as taking at least so long; so if most are late, it grows with them, and
// if some never come while others do, it does not.
func (b *Boots) Expected(p Place, stated float64, awaited []float64) float64 {
	seen := b.seen[p.Build]
	if own := b.seen[p.keys()[0]]; len(own) >= ownZone {
		seen = own
	}
	all := slices.Clone(seen)
	for range prior {
		all = append(all, stated)
	}
	slices.Sort(all)
	usual := all[len(all)/2]
	for _, age := range awaited {
		if age > lateFrom*usual {
			all = append(all, age)
		}
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// Coming is how much a machine that was ordered so long ago still counts, from 1
// to 0: one that is overdue ever less.
func Coming(age, usual float64) float64 {
	const doubt, lost = 1.5, 4 // times the usual time
	return min(1, max(0, (lost-age/max(usual, 1))/(lost-doubt)))
}
