package mirror

import (
	"encoding/json"
	"errors"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/catalog"
	"cherrywall/internal/jobs"
	"cherrywall/internal/state"
	"cherrywall/internal/tuning"
)

// Fits tells whether a value is small enough to be kept whole, now and later.
func (m *Mirror) Fits(raw json.RawMessage) bool {
	return len(raw) <= m.cfg.ValueBytes()
}

// Keeps tells whether a record can be kept at all: whole as the limits are, or in parts.
func (m *Mirror) Keeps(raw json.RawMessage) bool {
	if m.Gate.Open() {
		return len(raw) <= tuning.RecordBytes
	}
	return len(raw) <= int(tuning.ValuePart*float64(m.cfg.PresentBytes()))
}

// Txn runs a transaction off the actor and hands its outcome back to it. On
// success the writes are applied to the mirror before done is called.
func (m *Mirror) Txn(p state.Priority, t state.Txn, done func(res state.Result, err error)) {
	go func() {
		res, err := m.st.Do(m.loop.Context(), p, t)
		m.loop.Tell(func() {
			if errors.Is(err, state.ErrRefused) {
				// A limit was lowered, perhaps: the keys tell which writer does not keep to it.
				m.log.Error("write refused", "keys", keysOf(t), "conditions", len(t.If), "error", err)
			}
			if err == nil {
				m.contact = time.Now()
				if res.OK {
					for _, w := range t.Writes {
						if w.Drop != "" {
							m.Drop(w.Drop, res.Epoch)
						} else {
							m.Write(w.Key, w.Value, res.Epoch)
						}
					}
				}
			}
			done(res, err)
		})
	}()
}

// Told takes in that a job was cancelled, by the record of a revision, as another controller that has
// it on record tells: it is as true as what the watch tells, and comes where that can't be read.
func (m *Mirror) Told(ref string, done int, stamp uint64) {
	if _, over := m.Final(ref); over || !m.synced || !jobs.ValidRef(ref) {
		return
	}
	m.Write(jobs.FinalKey(ref), state.Encode(jobs.Final{Status: jobs.Cancelled, Tasks: done}), stamp)
	m.Drop(jobs.JobKey(ref), stamp)
}

func keysOf(t state.Txn) []string {
	var out []string
	for _, w := range t.Writes {
		out = append(out, w.Key+w.Drop)
	}
	return out
}

// ChangeSettings stores new settings if nobody changed them since version; done hears
// the new version, or admin.ErrStale or admin.ErrUnavailable.
func (m *Mirror) ChangeSettings(s admin.Settings, version uint64, done func(version uint64, err error)) {
	m.Txn(state.Normal, state.Txn{If: []state.Cond{{Key: jobs.SettingsKey, Stamp: version}},
		Writes: []state.Write{{Key: jobs.SettingsKey, Value: state.Encode(s)}}},
		func(res state.Result, err error) {
			switch {
			case err != nil:
				done(0, admin.ErrUnavailable)
			case !res.OK:
				done(0, admin.ErrStale)
			default:
				m.log.Info("settings changed", "version", res.Epoch)
				done(res.Epoch, nil)
			}
		})
}

// KeepCatalog records what is new of machine types and boot times.
func (m *Mirror) KeepCatalog(now time.Time) {
	value, rec, err := m.Types.TypesDue()
	m.keep(jobs.TypesKey, value, rec, err, func() {})
	value, rec, err = m.Types.BootsDue(now)
	m.keep(jobs.BootsKey, value, rec, err, func() { m.log.Info("boot times learned", "seconds", m.Types.Boots()) })
}

func (m *Mirror) keep(key string, value json.RawMessage, rec *catalog.Record, err error, kept func()) {
	if err != nil {
		m.log.Error("record not written", "key", key, "error", err)
	}
	if value == nil || !m.Keeps(value) {
		return
	}
	rec.Writing = true
	m.Txn(state.Background, state.Txn{If: []state.Cond{{Key: key, Stamp: rec.Stamp}},
		Writes: []state.Write{{Key: key, Value: value}}}, func(res state.Result, err error) {
		rec.Writing = false
		if err == nil && res.OK {
			kept()
		}
	})
}
