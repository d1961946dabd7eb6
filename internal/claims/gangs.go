package claims

import (
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
)

// RecordGangWorkers writes to a gang's range record on which workers the gang is planned, if
// the record does not allow these workers. The gang's tasks are started only once the write is
// known to be made (clusterstate.State.GangCanStart). Until then none of them is on any
// machine, so the workers named before need not be kept. A write without an answer is repeated
// under the same precondition until the record has another revision: then one of the writes has
// been made, and no late one can be.
func (w *Writer) RecordGangWorkers(taskRange *clusterstate.TaskRange) {
	shard := w.localShard(taskRange)
	if shard == nil || !w.State.IsCurrentTaskRange(taskRange) {
		return
	}
	if !taskRange.NeedsHostsWrite() || taskRange.HasHostsWriteInFlight() || taskRange.HasWriteInFlight() {
		return
	}
	record := *taskRange.Record()
	record.GangWorkers = taskRange.PlannedHosts()
	taskRange.BeginHostsWrite()
	w.Cache.Commit(kvstore.Normal, kvstore.Txn{
		Conditions: []kvstore.Condition{rangeCondition(taskRange), ownershipCondition(shard)},
		Writes:     []kvstore.Write{{Key: rangeKey(taskRange), Value: kvstore.Encode(record)}},
	}, func(_ kvstore.TxnResult, err error) {
		taskRange.EndHostsWrite(err == nil)
		w.State.MarkDirty()
	})
}

// recordAllGangWorkers repeats the writes that could not be made.
func (w *Writer) recordAllGangWorkers() {
	for job := range w.State.Jobs() {
		if job.HasEnded() || job.Record().Kind != jobs.Gang {
			continue
		}
		for taskRange := range job.TaskRanges() {
			w.RecordGangWorkers(taskRange)
		}
	}
}
