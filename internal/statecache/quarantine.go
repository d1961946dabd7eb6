package statecache

import (
	"encoding/json"
	"maps"
	"slices"

	"cherrywall/internal/tuning"
)

// QuarantinedRecord is a record that cannot be read, because it is damaged, fails validation or was
// written by a later version of the program. It is neither applied nor changed; all other records
// are handled as usual.
type QuarantinedRecord struct {
	Key      string `json:"key"`
	Revision uint64 `json:"stamp"`
	Error    string `json:"error"`
	Value    string `json:"value"` // only the first tuning.MaxQuarantinedRecordBytes bytes
}

// updateQuarantine quarantines a record if err says that it could not be applied. Otherwise it removes
// the record from quarantine.
func (c *Cache) updateQuarantine(key string, value json.RawMessage, revision uint64, err error) {
	if err == nil {
		delete(c.quarantinedRecords, key)
		return
	}
	c.log.Error("record quarantined", "key", key, "revision", revision, "error", err)
	c.quarantinedRecords[key] = QuarantinedRecord{
		Key:      key,
		Revision: revision,
		Error:    err.Error(),
		Value:    string(value[:min(len(value), tuning.MaxQuarantinedRecordBytes)]),
	}
}

// QuarantinedRecords returns at most tuning.MaxListedQuarantinedRecords quarantined records, sorted
// by key.
func (c *Cache) QuarantinedRecords() []QuarantinedRecord {
	var records []QuarantinedRecord
	keys := slices.Sorted(maps.Keys(c.quarantinedRecords))
	for _, key := range keys[:min(len(keys), tuning.MaxListedQuarantinedRecords)] {
		records = append(records, c.quarantinedRecords[key])
	}
	return records
}

// IsQuarantined reports whether the record of a key is quarantined.
func (c *Cache) IsQuarantined(key string) bool {
	_, quarantined := c.quarantinedRecords[key]
	return quarantined
}
