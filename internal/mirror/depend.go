package mirror

import (
	"encoding/json"
	"time"

	"cherrywall/internal/depend"
	"cherrywall/internal/gate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/state"
	"cherrywall/internal/tuning"
)

// What the records tell of jobs that others wait for, and of the other controllers'
// programs.

// ended follows a durable final state.
func (m *Mirror) ended(ref string, f jobs.Final) {
	m.finals.Add(ref, f)
	m.Books.Depend().Ended(ref, depend.FateOf(f.Status), time.Now())
}

// askFates asks for the ends of jobs that others wait for and that were over before this
// controller began to look: final states are not read at a start, they are kept for ever.
// Until it is known how such a job ended those behind it wait.
func (m *Mirror) askFates(now time.Time) {
	if !m.synced || m.asking >= tuning.FatesAtOnce {
		return
	}
	for _, ref := range m.Books.Depend().Unknown(now.Add(-tuning.FatesAgain), now, tuning.FatesAtOnce-m.asking) {
		m.asking++
		m.LookUp(ref, func(jobs.Final, bool, error) { m.asking-- })
	}
}

// versionWritten follows what program a controller runs.
func (m *Mirror) versionWritten(node string, value json.RawMessage, stamp uint64) error {
	err := m.Gate.Recorded(node, value, stamp)
	if m.Gate.Open() && !m.opened {
		m.opened = true
		m.log.Info("all controllers run this version or a later one", "version", gate.Version)
		m.hooks.Opened()
	}
	return err
}

// markVersion has it known, for ever, that this controller runs this program.
func (m *Mirror) markVersion() {
	stamp, due := m.Gate.Due()
	if !due || m.marking {
		return
	}
	m.marking = true
	key := jobs.VersionPrefix + m.cfg.Node
	m.Txn(state.Normal, state.Txn{If: []state.Cond{{Key: key, Stamp: stamp}}, Writes: []state.Write{{Key: key, Value: gate.Mark()}}},
		func(res state.Result, err error) {
			if err == nil && res.OK {
				m.marking = false
				return
			}
			m.loop.After(tuning.RetryMax, func() { m.marking = false })
		})
}
