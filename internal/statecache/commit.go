package statecache

import (
	"encoding/json"
	"errors"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/featuregate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/machinetype"
	"cherrywall/internal/tuning"
)

// FitsOneValue reports whether a record is small enough for one value of the store, under both the
// store's current limits and the limits that are announced for it.
func (c *Cache) FitsOneValue(raw json.RawMessage) bool {
	return len(raw) <= c.cfg.TargetValueBytes()
}

// CanStore reports whether a record can be stored at all: in one value or, if all controllers can
// read chunks, in chunks.
func (c *Cache) CanStore(raw json.RawMessage) bool {
	if c.FeatureGate.IsOpen(featuregate.Dependencies) {
		return len(raw) <= tuning.MaxChunkedRecordBytes
	}
	return len(raw) <= int(tuning.RecordValueFraction*float64(c.cfg.CurrentMaxValueBytes()))
}

// Commit executes a transaction on another goroutine and passes its result to done on the actor. On
// success the writes are applied to the cache before done is called.
func (c *Cache) Commit(priority kvstore.Priority, txn kvstore.Txn, done func(result kvstore.TxnResult, err error)) {
	go func() {
		result, err := c.store.Commit(c.mailbox.Context(), priority, txn)
		c.mailbox.Send(func() {
			if err == nil {
				c.applyCommitted(txn, result)
			}
			if errors.Is(err, kvstore.ErrRejected) {
				// A retry would be rejected again. The keys show operators which kind of record
				// exceeds a limit of the store, which may have been lowered.
				c.log.Error("write rejected by the key-value store", "keys", writtenKeys(txn), "conditions", len(txn.Conditions), "error", err)
			}
			done(result, err)
		})
	}()
}

// applyCommitted applies the writes of a transaction that the store has processed, if the
// transaction's conditions held.
func (c *Cache) applyCommitted(txn kvstore.Txn, result kvstore.TxnResult) {
	c.lastContactAt = time.Now()
	if !result.Succeeded {
		return
	}
	for _, write := range txn.Writes {
		if write.DeleteKey != "" {
			c.ApplyDelete(write.DeleteKey, result.Revision)
		} else {
			c.ApplyWrite(write.Key, write.Value, result.Revision)
		}
	}
}

// writtenKeys returns the keys that a transaction puts or deletes.
func writtenKeys(txn kvstore.Txn) []string {
	var keys []string
	for _, write := range txn.Writes {
		keys = append(keys, write.Key+write.DeleteKey)
	}
	return keys
}

// ChangeSettings stores new settings, provided that version is still the version of the stored
// settings. It calls done with the new version, or with the error admin.ErrVersionConflict or
// admin.ErrUnavailable.
func (c *Cache) ChangeSettings(settings admin.Settings, version uint64, done func(version uint64, err error)) {
	txn := kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: jobs.SettingsKey, Revision: version}},
		Writes:     []kvstore.Write{{Key: jobs.SettingsKey, Value: kvstore.MustEncode(settings)}},
	}
	c.Commit(kvstore.Normal, txn, func(result kvstore.TxnResult, err error) {
		switch {
		case err != nil:
			done(0, admin.ErrUnavailable)
		case !result.Succeeded:
			done(0, admin.ErrVersionConflict)
		default:
			c.log.Info("settings changed", "version", result.Revision)
			done(result.Revision, nil)
		}
	})
}

// StoreMachineTypes stores the records of the machine types and of their boot times, each only if it
// has changed.
func (c *Cache) StoreMachineTypes(now time.Time) {
	value, record, err := c.MachineTypes.TypesToRecord()
	c.storeRecord(jobs.MachineTypesKey, value, record, err, func() {})
	value, record, err = c.MachineTypes.BootTimesToRecord(now)
	c.storeRecord(jobs.BootTimesKey, value, record, err, func() {
		c.log.Info("boot times learned", "seconds", c.MachineTypes.RecordedBootTimes())
	})
}

// storeRecord writes one of the two records about machine types. value is nil if there is nothing to
// write, and err is the error of encoding value. onStored is called after a successful write.
func (c *Cache) storeRecord(key string, value json.RawMessage, record *machinetype.RecordState, err error, onStored func()) {
	if err != nil {
		c.log.Error("record not written", "key", key, "error", err)
	}
	if value == nil || !c.CanStore(value) {
		return
	}
	record.IsWriteInFlight = true
	txn := kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: key, Revision: record.Revision}},
		Writes:     []kvstore.Write{{Key: key, Value: value}},
	}
	c.Commit(kvstore.Background, txn, func(result kvstore.TxnResult, err error) {
		record.IsWriteInFlight = false
		if err == nil && result.Succeeded {
			onStored()
		}
	})
}
