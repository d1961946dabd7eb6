package membership

import (
	"encoding/json"
	"slices"
	"time"

	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

// livenessRecord is the stored form of a controller's liveness.
type livenessRecord struct {
	Incarnation uint64 `json:"boot"`
}

// shardRecord is the stored form of a shard's ownership.
type shardRecord struct {
	Owner       string `json:"holder"`
	Incarnation uint64 `json:"boot"`
	// Acquisitions are the times at which the shard was acquired, the latest last. Each is in Unix
	// milliseconds by the clock of the controller that acquired the shard.
	Acquisitions []int64 `json:"takings,omitempty"`
	// GangWorkersTrustedAfter is the revision after which all owners of the shard have started the
	// tasks of gangs only on the workers in jobs.RangeRecord.GangWorkers (docs/recovery.md,
	// "Marks"); 0 stands for the revision of this record. Versions of the controller that ignore
	// GangWorkers do not write this field.
	GangWorkersTrustedAfter *uint64 `json:"marks,omitempty"`
}

// EncodeLiveness returns the liveness record of an incarnation of a controller.
func EncodeLiveness(incarnation uint64) json.RawMessage {
	return kvstore.MustEncode(livenessRecord{Incarnation: incarnation})
}

// EncodeShard returns the ownership record with which a controller acquires a shard at now.
// previous is the ownership that the record replaces, nil if the shard had no record.
func EncodeShard(owner string, incarnation uint64, previous *Shard, now time.Time) json.RawMessage {
	record := shardRecord{Owner: owner, Incarnation: incarnation, GangWorkersTrustedAfter: new(uint64)}
	if previous != nil {
		if previous.gangWorkersTrustedAfter != nil {
			record.GangWorkersTrustedAfter = previous.gangWorkersTrustedAfter
		}
		firstKept := max(0, len(previous.acquisitions)-tuning.MaxRecordedAcquisitions+1)
		record.Acquisitions = previous.acquisitions[firstKept:]
	}
	record.Acquisitions = append(slices.Clip(record.Acquisitions), now.UnixMilli())
	return kvstore.MustEncode(record)
}
