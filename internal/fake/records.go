package fake

import (
	"encoding/json"

	"cherrywall/internal/jobs"
	"cherrywall/internal/workerapi"
)

// IsCancelled reports whether the store has a final-state record that says that a job is cancelled.
func (c *Cluster) IsCancelled(ref string) bool {
	raw, _ := c.Store.Value(jobs.FinalKey(ref))
	var final jobs.FinalState
	return raw != "" && json.Unmarshal([]byte(raw), &final) == nil && final.Status == jobs.Cancelled
}

// OwnerOf returns the owner of a shard according to the shard's record, or an empty string if there is no record.
func (c *Cluster) OwnerOf(shard string) string {
	raw, _ := c.Store.Value(jobs.ShardPrefix + shard)
	var record struct {
		Owner string `json:"holder"`
	}
	if json.Unmarshal([]byte(raw), &record) != nil {
		return ""
	}
	return record.Owner
}

// ShardOf returns the shard of a worker according to the worker's record, or an empty string if there is no
// record.
func (c *Cluster) ShardOf(host string) string {
	raw, _ := c.Store.Value(jobs.WorkerPrefix + host)
	var record workerapi.Record
	_ = json.Unmarshal([]byte(raw), &record) // a worker without a record is in no shard
	return record.Shard
}

// WorkersInShard returns how many workers are in a shard according to their records.
func (c *Cluster) WorkersInShard(shard string) int {
	count := 0
	for _, key := range c.Store.Keys(jobs.WorkerPrefix) {
		raw, _ := c.Store.Value(key)
		var record workerapi.Record
		if json.Unmarshal([]byte(raw), &record) == nil && record.Shard == shard {
			count++
		}
	}
	return count
}
