package pipelinerun

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"cherrywall/internal/kvstore"
	"cherrywall/internal/pipeline"
	"cherrywall/internal/pipelineexec"
	"cherrywall/internal/tuning"
)

// unreadableRecordRetryDelay is the time after which an unreadable record of a run or schedule is
// read again.
const unreadableRecordRetryDelay = time.Minute

var errPlanChunkMissing = errors.New("a chunk of the plan is missing")

// newRunRecord returns the first record of a run. chunks are the writes of the part of the plan
// that does not fit into the record; their keys are unique, and they have to be committed before
// the record. owner is the id of the run or schedule that the plan belongs to.
func (l *Leader) newRunRecord(name string, file []byte, plan *pipeline.Plan, owner string) (record runRecord, chunks []kvstore.Write, err error) {
	compressed, err := plan.Compress()
	if err != nil {
		return runRecord{}, nil, err
	}
	record = runRecord{
		Name:         name,
		Digest:       fileDigest(file),
		AcceptedAtMS: time.Now().UnixMilli(),
		Progress:     pipelineexec.EncodeProgress(pipelineexec.NewJobStates(len(plan.Jobs))),
	}
	record.HomeShard, record.Epoch = l.chooseHomeShard()
	maxValueBytes := l.cfg.TargetValueBytes()
	chunksID := fmt.Sprintf("%s-%x", owner, rand.Uint64())
	inlineBytes := rawBytesInBase64(maxValueBytes - len(kvstore.MustEncode(record)) - tuning.RunProgressReserveBytes)
	inlineBytes = min(len(compressed), max(0, inlineBytes))
	record.Plan = compressed[:inlineBytes]
	for rest := compressed[inlineBytes:]; len(rest) > 0; record.PlanChunks++ {
		size := min(len(rest), rawBytesInBase64(maxValueBytes)-2) // two bytes are needed for the quotes
		chunks = append(chunks, kvstore.Write{Key: planKey(chunksID, record.PlanChunks), Value: kvstore.MustEncode(rest[:size])})
		rest, record.PlanChunksID = rest[size:], chunksID
	}
	return record, chunks, nil
}

// rawBytesInBase64 returns how many bytes fit into a base64 string of the given size: the encoding
// makes them a third longer.
func rawBytesInBase64(base64Bytes int) int { return base64Bytes * 3 / 4 }

// chooseHomeShard chooses the shard whose owner leads a new run. It prefers a shard that this
// controller owns, since the run then begins without another write of its record. If this
// controller owns several shards, chooseHomeShard prefers the shard that is named after the
// controller. epoch is 0 if this controller owns no shard.
func (l *Leader) chooseHomeShard() (shard string, epoch uint64) {
	local, _ := l.controller.LocalState(nil)
	shard = l.cfg.Node
	for owned, ownedEpoch := range local.Shards {
		if epoch == 0 || owned == l.cfg.Node {
			shard, epoch = owned, ownedEpoch
		}
	}
	return shard, epoch
}

// loadExecution restores a run's execution from its record, after reading the chunks of its plan
// from the store if there are any.
func (l *Leader) loadExecution(run *runState) {
	run.isWriteInFlight = true
	l.loadCompressedPlan(run.record, kvstore.Background, func(compressed []byte, err error) {
		run.isWriteInFlight = false
		if err != nil {
			l.log.Info("plan not read", "run", run.id, "error", err)
			run.pausedUntil = time.Now().Add(tuning.MaxRetryDelay)
			return
		}
		l.setExecution(run, compressed)
	})
}

// loadCompressedPlan passes the compressed plan of a record to done. It does so immediately if the
// record contains the whole plan, otherwise after the plan's chunks were read.
func (l *Leader) loadCompressedPlan(record runRecord, priority kvstore.Priority, done func(compressed []byte, err error)) {
	if record.PlanChunks == 0 {
		done(record.Plan, nil)
		return
	}
	go func() {
		compressed, err := l.readPlanChunks(record, priority)
		l.mailbox.Send(func() { done(compressed, err) })
	}()
}

func (l *Leader) readPlanChunks(record runRecord, priority kvstore.Priority) ([]byte, error) {
	compressed := bytes.Clone(record.Plan)
	for number := range record.PlanChunks {
		result, err := l.store.Get(l.mailbox.Context(), priority, planKey(record.PlanChunksID, number))
		if err != nil {
			return nil, err
		}
		if !result.Found {
			return nil, errPlanChunkMissing
		}
		var chunk []byte
		if err := json.Unmarshal(result.Row.Value, &chunk); err != nil {
			return nil, err
		}
		compressed = append(compressed, chunk...)
	}
	return compressed, nil
}

// setExecution restores a run's execution from its record and the compressed plan. If they cannot
// be decoded, the execution stays nil and the run is paused.
func (l *Leader) setExecution(run *runState, compressed []byte) {
	plan, states, err := decodeExecution(run.record, compressed)
	if err != nil {
		// A later version of the program may have written the record, so it is kept and read again
		// later.
		l.log.Error("run cannot be read", "run", run.id, "error", err)
		run.pausedUntil = time.Now().Add(unreadableRecordRetryDelay)
		return
	}
	run.execution = &pipelineexec.Execution{Plan: plan, JobStates: states, CancelMode: run.record.CancelMode}
	// An earlier leader may have submitted jobs that are still waiting according to the record. In
	// a cancelled run the next step would treat them as not started, and they would continue to run
	// after the end of the run. Therefore findSubmittedJobs finds them first.
	if run.epoch != 0 && run.record.CancelMode != pipelineexec.NotCancelled {
		run.isFindingSubmitted = true
		run.unsubmittedJobs, run.execution.CancelMode = map[int]bool{}, pipelineexec.NotCancelled
	} else {
		run.isFindingSubmitted = false
	}
}

func decodeExecution(record runRecord, compressed []byte) (*pipeline.Plan, []pipelineexec.JobState, error) {
	plan, err := pipeline.DecompressPlan(compressed)
	if err != nil {
		return nil, nil, err
	}
	states, err := record.Progress.JobStates(len(plan.Jobs))
	if err != nil {
		return nil, nil, err
	}
	return plan, states, nil
}
