package statecache

import (
	"encoding/json"
	"errors"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/machinetype"
	"cherrywall/internal/tuning"
)

// FitsOneValue tells whether a value is small enough to be kept whole, now and later.
func (m *Cache) FitsOneValue(raw json.RawMessage) bool {
	return len(raw) <= m.cfg.TargetValueBytes()
}

// CanStore tells whether a record can be kept at all: whole as the limits are, or in parts.
func (m *Cache) CanStore(raw json.RawMessage) bool {
	if m.FeatureGate.IsOpen() {
		return len(raw) <= tuning.MaxChunkedRecordBytes
	}
	return len(raw) <= int(tuning.RecordValueFraction*float64(m.cfg.CurrentMaxValueBytes()))
}

// Commit runs a transaction off the actor and hands its outcome back to it. On
// success the writes are applied to the mirror before done is called.
func (m *Cache) Commit(priority kvstore.Priority, txn kvstore.Txn, done func(result kvstore.TxnResult, err error)) {
	go func() {
		result, err := m.store.Commit(m.mailbox.Context(), priority, txn)
		m.mailbox.Send(func() {
			if errors.Is(err, kvstore.ErrRejected) {
				// A limit was lowered, perhaps: the keys tell which writer does not keep to it.
				m.log.Error("write refused", "keys", writtenKeys(txn), "conditions", len(txn.Conditions), "error", err)
			}
			if err == nil {
				m.lastContactAt = time.Now()
				if result.Succeeded {
					for _, write := range txn.Writes {
						if write.DeleteKey != "" {
							m.ApplyDelete(write.DeleteKey, result.Revision)
						} else {
							m.ApplyWrite(write.Key, write.Value, result.Revision)
						}
					}
				}
			}
			done(result, err)
		})
	}()
}

// ApplyPeerCancellation takes in that a job was cancelled, by the record of a revision, as another controller that has
// it on record tells: it is as true as what the watch tells, and comes where that can't be read.
func (m *Cache) ApplyPeerCancellation(ref string, done int, revision uint64) {
	if _, over := m.Final(ref); over || !m.synced || !jobs.ValidRef(ref) {
		return
	}
	m.ApplyWrite(jobs.FinalKey(ref), kvstore.Encode(jobs.FinalState{Status: jobs.Cancelled, Tasks: done}), revision)
	m.ApplyDelete(jobs.JobKey(ref), revision)
}

func writtenKeys(txn kvstore.Txn) []string {
	var out []string
	for _, write := range txn.Writes {
		out = append(out, write.Key+write.DeleteKey)
	}
	return out
}

// ChangeSettings stores new settings if nobody changed them since version; done hears
// the new version, or admin.ErrStale or admin.ErrUnavailable.
func (m *Cache) ChangeSettings(settings admin.Settings, version uint64, done func(version uint64, err error)) {
	m.Commit(kvstore.Normal, kvstore.Txn{Conditions: []kvstore.Condition{{Key: jobs.SettingsKey, Revision: version}},
		Writes: []kvstore.Write{{Key: jobs.SettingsKey, Value: kvstore.Encode(settings)}}},
		func(result kvstore.TxnResult, err error) {
			switch {
			case err != nil:
				done(0, admin.ErrUnavailable)
			case !result.Succeeded:
				done(0, admin.ErrVersionConflict)
			default:
				m.log.Info("settings changed", "version", result.Revision)
				done(result.Revision, nil)
			}
		})
}

// StoreMachineTypes records what is new of machine types and boot times.
func (m *Cache) StoreMachineTypes(now time.Time) {
	value, rec, err := m.MachineTypes.TypesToRecord()
	m.storeRecord(jobs.MachineTypesKey, value, rec, err, func() {})
	value, rec, err = m.MachineTypes.BootTimesToRecord(now)
	m.storeRecord(jobs.BootTimesKey, value, rec, err, func() { m.log.Info("boot times learned", "seconds", m.MachineTypes.RecordedBootTimes()) })
}

func (m *Cache) storeRecord(key string, value json.RawMessage, rec *machinetype.RecordState, err error, kept func()) {
	if err != nil {
		m.log.Error("record not written", "key", key, "error", err)
	}
	if value == nil || !m.CanStore(value) {
		return
	}
	rec.WriteInFlight = true
	m.Commit(kvstore.Background, kvstore.Txn{Conditions: []kvstore.Condition{{Key: key, Revision: rec.Revision}},
		Writes: []kvstore.Write{{Key: key, Value: value}}}, func(result kvstore.TxnResult, err error) {
		rec.WriteInFlight = false
		if err == nil && result.Succeeded {
			kept()
		}
	})
}
