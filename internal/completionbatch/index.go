// Package completionbatch indexes the completion batches: records that each list many small
// jobs that are done, whose own records may not say so yet. One batch replaces a write for each
// of its jobs; the jobs get final states of their own later, when there is budget for it.
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

// Index is what a controller knows of all completion batches. It follows the records and writes
// none itself. It is not safe for concurrent use: one actor owns it.
type Index struct {
	batches map[string]*batch // by key
	done    map[string]Job    // by job reference
}

// Job is a job that a completion batch lists as done.
type Job struct {
	Ref   string
	Tasks int
	// RecordRevision is the revision of the job's own record, 0 if that is deleted or not
	// known.
	RecordRevision uint64
}

// Batch is a completion batch that takes more jobs.
type Batch struct {
	Key      string
	Entries  []string // see jobs.BatchEntry; the caller may append to it
	Revision uint64   // 0 if the batch is to be created
}

// Cleanup is the next step of the cleanup of a batch.
type Cleanup struct {
	Key      string
	Shard    string
	Revision uint64
	// Pending are jobs that need final states of their own. Without any the batch itself can be
	// deleted.
	Pending []Job
}

type batch struct {
	entries  []string // see jobs.BatchEntry
	revision uint64
	isFull   bool
}

// New returns an empty Index.
func New() *Index {
	x := &Index{}
	x.Reset()
	return x
}

// Reset drops all records, to be read anew.
func (x *Index) Reset() { x.batches, x.done = map[string]*batch{}, map[string]Job{} }

// ApplyBatch applies a batch's record as of a revision and returns those of its jobs that were not
// known to be done. A record no newer than the known one is ignored.
func (x *Index) ApplyBatch(key string, value json.RawMessage, revision uint64) ([]Job, error) {
	if known := x.batches[key]; known != nil && known.revision >= revision {
		return nil, nil
	}
	var entries []string
	if err := json.Unmarshal(value, &entries); err != nil {
		return nil, fmt.Errorf("completion batch %s: %w", key, err)
	}
	x.batches[key] = &batch{entries: entries, revision: revision}
	var added []Job
	for _, entry := range entries {
		ref, tasks := jobs.ParseBatchEntry(entry)
		if _, known := x.done[ref]; !known {
			x.done[ref] = Job{Ref: ref, Tasks: tasks}
			added = append(added, x.done[ref])
		}
	}
	return added, nil
}

// RemoveBatch applies the deletion of a batch at a revision: each of its jobs has a final state of
// its own by then. A deletion older than the known record is ignored.
func (x *Index) RemoveBatch(key string, revision uint64) {
	removed := x.batches[key]
	if removed == nil || removed.revision > revision {
		return
	}
	delete(x.batches, key)
	for _, entry := range removed.entries {
		ref, _ := jobs.ParseBatchEntry(entry)
		delete(x.done, ref)
	}
}

// FinalState returns the final state of a job that a batch lists.
func (x *Index) FinalState(ref string) (final jobs.FinalState, ok bool) {
	job, ok := x.done[ref]
	return jobs.FinalState{Status: jobs.Done, Tasks: job.Tasks}, ok
}

// JobRecordSeen records the revision of a job's own record, and reports whether a batch lists the
// job. If so the job is done, whatever its own record says, and that record has to be cleaned up.
func (x *Index) JobRecordSeen(ref string, revision uint64) bool {
	job, ok := x.done[ref]
	if ok {
		job.RecordRevision = max(job.RecordRevision, revision)
		x.done[ref] = job
	}
	return ok
}

// JobRecordDeleted records that a job's own record was deleted at a revision.
func (x *Index) JobRecordDeleted(ref string, revision uint64) {
	if job, ok := x.done[ref]; ok && job.RecordRevision <= revision {
		job.RecordRevision = 0
		x.done[ref] = job
	}
}

// JobCount returns how many jobs the batches list.
func (x *Index) JobCount() int { return len(x.done) }

// OpenBatch returns the newest batch of a shard if it takes more jobs, else a new one, which is to be
// created under the next number.
func (x *Index) OpenBatch(shard string) Batch {
	prefix := jobs.CompletionBatchPrefix + shard + "/"
	newest, newestKey := 0, ""
	for key := range x.batches {
		number, err := strconv.Atoi(strings.TrimPrefix(key, prefix))
		if err == nil && strings.HasPrefix(key, prefix) && number >= newest {
			newest, newestKey = number, key
		}
	}
	if open := x.batches[newestKey]; open != nil && !open.isFull && len(open.entries) < tuning.MaxCompletionBatchJobs {
		return Batch{Key: newestKey, Entries: slices.Clone(open.entries), Revision: open.revision}
	}
	return Batch{Key: prefix + strconv.Itoa(newest+1)}
}

// MarkFull notes that a batch takes no more jobs, since its value would become too large.
func (x *Index) MarkFull(key string) {
	if full := x.batches[key]; full != nil {
		full.isFull = true
	}
}

// NextCleanup returns the next step of the cleanup, with at most maxJobs jobs, for the first
// batch of a shard that isEligible accepts. ok is false if there is no such batch.
func (x *Index) NextCleanup(maxJobs int, isEligible func(shard string) bool) (cleanup Cleanup, ok bool) {
	for _, key := range slices.Sorted(maps.Keys(x.batches)) {
		shard, _, _ := strings.Cut(strings.TrimPrefix(key, jobs.CompletionBatchPrefix), "/")
		if !isEligible(shard) {
			continue
		}
		next := x.batches[key]
		return Cleanup{Key: key, Shard: shard, Revision: next.revision, Pending: x.pendingJobs(next, maxJobs)}, true
	}
	return Cleanup{}, false
}

// pendingJobs returns the first jobs of a batch that have records of their own.
func (x *Index) pendingJobs(of *batch, maxJobs int) []Job {
	var pending []Job
	for _, entry := range of.entries {
		ref, _ := jobs.ParseBatchEntry(entry)
		if job := x.done[ref]; job.RecordRevision != 0 && len(pending) < maxJobs {
			pending = append(pending, job)
		}
	}
	return pending
}
