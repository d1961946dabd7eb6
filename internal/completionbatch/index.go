// Package completionbatch indexes the completion batches. A completion batch is a record that lists many
// small jobs as done, although their own records may not yet say so. Writing one batch replaces a write
// for each of its jobs; the final state of each job is written later, when submissions do not need the
// store's rate limit.
package completionbatch

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// Index holds the completion batches that a controller knows. It is updated from the records of
// the batches, and writes no record itself. It is not safe for concurrent use: one actor owns it.
type Index struct {
	batches  map[string]*batch // by key
	doneJobs map[string]Job    // by job reference
}

// Job is a job that a completion batch lists as done.
type Job struct {
	Ref   string
	Tasks int
	// RecordRevision is the revision of the job's own record, 0 if the record is deleted or not
	// known.
	RecordRevision uint64
}

// Batch is a completion batch to which jobs can be added.
type Batch struct {
	Key      string
	Entries  []string // made by jobs.FormatBatchEntry; the caller may append to the slice
	Revision uint64   // 0 if the batch does not exist yet
}

// Cleanup is the next step in cleaning up a batch.
type Cleanup struct {
	Key      string
	Shard    string
	Revision uint64
	// Pending are the jobs for which a final state has to be written. If it is empty, the batch
	// itself can be deleted.
	Pending []Job
}

type batch struct {
	entries  []string // made by jobs.FormatBatchEntry, or by an early version, which wrote no numbers of tasks
	revision uint64
	isFull   bool
}

// New returns an empty Index.
func New() *Index {
	x := &Index{}
	x.Reset()
	return x
}

// Reset removes all batches and jobs. It is called before all records are read anew.
func (x *Index) Reset() { x.batches, x.doneJobs = map[string]*batch{}, map[string]Job{} }

// ApplyBatch applies the record of a batch at a revision. It returns the jobs in the batch that no batch
// listed before. A record that is not newer than the known one is ignored. ApplyBatch returns an error if
// the record cannot be decoded.
func (x *Index) ApplyBatch(key string, value json.RawMessage, revision uint64) ([]Job, error) {
	if knownBatch := x.batches[key]; knownBatch != nil && knownBatch.revision >= revision {
		return nil, nil
	}
	var entries []string
	if err := json.Unmarshal(value, &entries); err != nil {
		return nil, fmt.Errorf("completion batch %s: %w", key, err)
	}
	x.batches[key] = &batch{entries: entries, revision: revision}
	var addedJobs []Job
	for _, entry := range entries {
		ref, tasks := jobs.ParseBatchEntry(entry)
		if _, isKnown := x.doneJobs[ref]; !isKnown {
			x.doneJobs[ref] = Job{Ref: ref, Tasks: tasks}
			addedJobs = append(addedJobs, x.doneJobs[ref])
		}
	}
	return addedJobs, nil
}

// RemoveBatch applies the deletion of a batch at a revision. A batch is deleted after a final state has
// been written for each of its jobs. A deletion older than the known record is ignored.
func (x *Index) RemoveBatch(key string, revision uint64) {
	removedBatch := x.batches[key]
	if removedBatch == nil || removedBatch.revision > revision {
		return
	}
	delete(x.batches, key)
	for _, entry := range removedBatch.entries {
		ref, _ := jobs.ParseBatchEntry(entry)
		delete(x.doneJobs, ref)
	}
}

// FinalState returns the final state of a job. ok is false if no batch lists the job.
func (x *Index) FinalState(ref string) (finalState jobs.FinalState, ok bool) {
	job, ok := x.doneJobs[ref]
	return jobs.FinalState{Status: jobs.Done, Tasks: job.Tasks}, ok
}

// ApplyJobRecord notes the revision of a job's own record and reports whether a batch lists the job. A
// listed job is done, whatever its own record says, and that record has to be cleaned up.
func (x *Index) ApplyJobRecord(ref string, revision uint64) bool {
	job, ok := x.doneJobs[ref]
	if ok {
		job.RecordRevision = max(job.RecordRevision, revision)
		x.doneJobs[ref] = job
	}
	return ok
}

// ApplyJobRecordDeletion notes that a job's own record was deleted at a revision. A deletion older than the
// known record is ignored.
func (x *Index) ApplyJobRecordDeletion(ref string, revision uint64) {
	if job, ok := x.doneJobs[ref]; ok && job.RecordRevision <= revision {
		job.RecordRevision = 0
		x.doneJobs[ref] = job
	}
}

// JobCount returns the number of jobs that the batches list.
func (x *Index) JobCount() int { return len(x.doneJobs) }

// OpenBatch returns the newest batch of a shard if jobs can be added to it. Otherwise it returns an empty
// batch with the next number, which does not exist in the store yet.
func (x *Index) OpenBatch(shard string) Batch {
	prefix := jobs.CompletionBatchPrefix + shard + "/"
	newestNumber, newestKey := 0, ""
	for key := range x.batches {
		number, err := strconv.Atoi(strings.TrimPrefix(key, prefix))
		if err == nil && strings.HasPrefix(key, prefix) && number >= newestNumber {
			newestNumber, newestKey = number, key
		}
	}
	if newestBatch := x.batches[newestKey]; newestBatch != nil && !newestBatch.isFull && len(newestBatch.entries) < tuning.MaxCompletionBatchJobs {
		return Batch{Key: newestKey, Entries: slices.Clone(newestBatch.entries), Revision: newestBatch.revision}
	}
	return Batch{Key: prefix + strconv.Itoa(newestNumber+1)}
}

// MarkFull marks a batch as full: no job can be added to it, because its stored value would
// become too large.
func (x *Index) MarkFull(key string) {
	if fullBatch := x.batches[key]; fullBatch != nil {
		fullBatch.isFull = true
	}
}

// NextCleanup returns the next step in cleaning up a batch; the step has at most maxJobs jobs. The
// batch is the one with the lowest key in the shards for which isEligible returns true. ok is false if
// these shards have no batch.
func (x *Index) NextCleanup(maxJobs int, isEligible func(shard string) bool) (cleanup Cleanup, ok bool) {
	for _, key := range slices.Sorted(maps.Keys(x.batches)) {
		shard, _, _ := strings.Cut(strings.TrimPrefix(key, jobs.CompletionBatchPrefix), "/")
		if !isEligible(shard) {
			continue
		}
		nextBatch := x.batches[key]
		return Cleanup{Key: key, Shard: shard, Revision: nextBatch.revision, Pending: x.pendingJobs(nextBatch, maxJobs)}, true
	}
	return Cleanup{}, false
}

// pendingJobs returns those jobs of a batch whose own records still exist, but no more than the
// first maxJobs.
func (x *Index) pendingJobs(batchToClean *batch, maxJobs int) []Job {
	var pending []Job
	for _, entry := range batchToClean.entries {
		ref, _ := jobs.ParseBatchEntry(entry)
		if job := x.doneJobs[ref]; job.RecordRevision != 0 && len(pending) < maxJobs {
			pending = append(pending, job)
		}
	}
	return pending
}
