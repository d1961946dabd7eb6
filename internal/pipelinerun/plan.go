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

// unreadableRunDelay is after how long the record of a run or schedule that cannot be read is read
// again.
const unreadableRunDelay = time.Minute

var errPlanChunkMissing = errors.New("a chunk of the plan is missing")

// newRunRecord makes the first record of a run. The part of the plan that does not fit into it is
// returned as writes of chunks, under keys that nobody else uses; they have to be committed before
// the record. owner names the run or schedule that the plan belongs to.
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
	inline := rawBytes(maxValueBytes - len(kvstore.Encode(record)) - tuning.RunProgressReserveBytes)
	inline = min(len(compressed), max(0, inline))
	record.Plan = compressed[:inline]
	for rest := compressed[inline:]; len(rest) > 0; record.PlanChunks++ {
		size := min(len(rest), rawBytes(maxValueBytes)-2) // without the quotes
		chunks = append(chunks, kvstore.Write{Key: planKey(chunksID, record.PlanChunks), Value: kvstore.Encode(rest[:size])})
		rest, record.PlanChunksID = rest[size:], chunksID
	}
	return record, chunks, nil
}

// rawBytes returns how many bytes fit into a JSON string of a size: base64 takes a third more.
func rawBytes(jsonBytes int) int { return jsonBytes * 3 / 4 }

// chooseHomeShard chooses the shard whose owner leads a new run. It prefers a shard that this
// controller owns, since the run then begins without another write of its record, and among these
// the shard of this controller's name. epoch is 0 if this controller owns no shard.
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

// readPlan makes the execution of a run from its record.
func (l *Leader) readPlan(run *runState) {
	run.writeInFlight = true
	l.loadCompressedPlan(run.record, kvstore.Background, func(compressed []byte, err error) {
		run.writeInFlight = false
		if err != nil {
			l.log.Info("plan not read", "run", run.id, "error", err)
			run.pausedUntil = time.Now().Add(tuning.MaxRetryDelay)
			return
		}
		l.setPlan(run, compressed)
	})
}

// loadCompressedPlan passes the compressed plan of a record to done: at once if the record
// contains all of it, otherwise after its chunks were read.
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

// setPlan makes the execution of a run from its record and the compressed plan. It stays nil if
// they cannot be read.
func (l *Leader) setPlan(run *runState, compressed []byte) {
	plan, states, err := decodeExecution(run.record, compressed)
	if err != nil {
		// A later version of the program may have written it, so it is kept and read again.
		l.log.Error("run cannot be read", "run", run.id, "error", err)
		run.pausedUntil = time.Now().Add(unreadableRunDelay)
		return
	}
	run.execution = &pipelineexec.Execution{Plan: plan, JobStates: states, CancelMode: run.record.CancelMode}
	// An earlier leader may have submitted jobs whose record still says that they wait. In a
	// cancelled run the next step would take these for unstarted, and they would run on after the
	// run has ended; so they are found first, see findSubmittedJobs.
	if run.epoch != 0 && run.record.CancelMode != pipelineexec.NotCancelled {
		run.findingSubmitted = true
		run.notSubmitted, run.execution.CancelMode = map[int]bool{}, pipelineexec.NotCancelled
	} else {
		run.findingSubmitted = false
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
