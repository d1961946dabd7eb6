package placement

import (
	"encoding/json"
	"math"
	"time"

	"cherrywall/internal/jobs"
	"cherrywall/internal/state"
	"cherrywall/internal/tuning"
)

// boots are the boot times that the renting controller has learned, kept in the
// state service so that all controllers size their buffers by the same figure,
// and the next one that rents begins with it.
type boots struct {
	usual   map[string]float64 // seconds by type, as recorded
	learned map[string]float64 // the same as learned here
	at      time.Time          // when it was
	stamp   uint64
	writing bool
}

// SetBoots tells the actor what was learned.
func (a *Actor) SetBoots(usual map[string]float64) {
	a.tell(call(func(a *Actor) { a.boots.learned, a.boots.at = usual, time.Now() }))
}

// bootS is the usual boot time of a type, in seconds.
func (a *Actor) bootS(build string) float64 {
	if s, known := a.boots.usual[build]; known {
		return s
	}
	return a.flavors[build].StartupS
}

// keepBoots records what was learned if it differs enough to matter.
func (a *Actor) keepBoots() {
	b := &a.boots
	changed := false
	for build, s := range b.learned {
		changed = changed || math.Abs(s-a.bootS(build)) > tuning.BootChange*a.bootS(build)
	}
	// Who no longer rents learns no more, and must not write against who does.
	if !changed || b.writing || time.Since(b.at) > 3*tuning.FleetEvery {
		return
	}
	b.writing = true
	a.txn(state.Background, state.Txn{If: []state.Cond{{Key: jobs.BootsKey, Stamp: b.stamp}},
		Writes: []state.Write{{Key: jobs.BootsKey, Value: encode(b.learned)}}}, func(res state.Result, err error) {
		b.writing = false
		if err == nil && res.OK {
			a.log.Info("boot times learned", "seconds", b.usual)
		}
	})
}

func (a *Actor) bootsChanged(value json.RawMessage, stamp uint64) error {
	if stamp <= a.boots.stamp {
		return nil
	}
	var usual map[string]float64
	if err := json.Unmarshal(value, &usual); err != nil {
		return err
	}
	a.boots.usual, a.boots.stamp = usual, stamp
	return nil
}
