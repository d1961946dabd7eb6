package claims

import (
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
)

// RecordGangWorkers updates the range record of a gang so that it names the workers on which the
// gang is planned, unless the record already allows these workers. The gang's tasks are started
// only once the write is known to have succeeded (clusterstate.State.GangCanStart). Until then no
// task of the gang is on any machine, so the previously recorded workers need not be kept. A write
// without an answer is repeated under the same precondition until the record has another revision.
// Then one of the writes has succeeded, and those that are still in flight can no longer succeed.
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
		Writes:     []kvstore.Write{{Key: rangeKey(taskRange), Value: kvstore.MustEncode(record)}},
	}, func(_ kvstore.TxnResult, err error) {
		taskRange.EndHostsWrite(err == nil)
		w.State.MarkDirty()
	})
}

// recordAllGangWorkers repeats the writes of RecordGangWorkers that have not succeeded.
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
