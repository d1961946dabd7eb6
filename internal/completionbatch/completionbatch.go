// Package packs follows the records that tell of many small jobs that they are done,
// whose own records may not say so yet.
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

// Index has no locks: one actor owns it and makes the writes.
type Index struct {
	batches map[string]*batch // by key
	done    map[string]Job    // by the job's id
}

// Job is a job that is done by a pack.
type Job struct {
	Ref            string
	Tasks          int
	RecordRevision uint64 // of its own record, 0 if that is tidied up or not known
}

type batch struct {
	entries  []string // see jobs.Packed
	revision uint64
	isFull   bool
}

// New makes an empty book.
func New() *Index {
	b := &Index{}
	b.Reset()
	return b
}

// Reset forgets all records, to be read anew.
func (b *Index) Reset() { b.batches, b.done = map[string]*batch{}, map[string]Job{} }

// ApplyBatch follows a pack and tells which of its jobs are new.
func (b *Index) ApplyBatch(key string, value json.RawMessage, revision uint64) ([]Job, error) {
	if old := b.batches[key]; old != nil && old.revision >= revision {
		return nil, nil
	}
	var names []string
	if err := json.Unmarshal(value, &names); err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	b.batches[key] = &batch{entries: names, revision: revision}
	var fresh []Job
	for _, name := range names {
		ref, tasks := jobs.ParseBatchEntry(name)
		if _, known := b.done[ref]; !known {
			b.done[ref] = Job{Ref: ref, Tasks: tasks}
			fresh = append(fresh, b.done[ref])
		}
	}
	return fresh, nil
}

// Dropped: each of the pack's jobs has a final state of its own by now.
func (b *Index) RemoveBatch(key string, revision uint64) {
	p := b.batches[key]
	if p == nil || p.revision > revision {
		return
	}
	delete(b.batches, key)
	for _, name := range p.entries {
		ref, _ := jobs.ParseBatchEntry(name)
		delete(b.done, ref)
	}
}

// FinalState is the final state of a job that is done by a pack.
func (b *Index) FinalState(ref string) (jobs.FinalState, bool) {
	j, packed := b.done[ref]
	return jobs.FinalState{Status: jobs.Done, Tasks: j.Tasks}, packed
}

// JobRecordSeen notes the record of a job, which still has to be tidied up if a pack has
// the job; false if none has.
func (b *Index) JobRecordSeen(ref string, revision uint64) bool {
	j, packed := b.done[ref]
	if packed {
		j.RecordRevision = max(j.RecordRevision, revision)
		b.done[ref] = j
	}
	return packed
}

// JobRecordDeleted notes that a job's record was dropped.
func (b *Index) JobRecordDeleted(ref string, revision uint64) {
	if j, packed := b.done[ref]; packed && j.RecordRevision <= revision {
		j.RecordRevision = 0
		b.done[ref] = j
	}
}

// JobCount is how many jobs are done by packs.
func (b *Index) JobCount() int { return len(b.done) }

// OpenBatch is the pack of a share that takes more, or the next one: its key, what it lists
// and its stamp (0: new).
func (b *Index) OpenBatch(shard string) (key string, names []string, revision uint64) {
	prefix := jobs.CompletionBatchPrefix + shard + "/"
	n, last := 0, ""
	for key := range b.batches {
		if k, err := strconv.Atoi(strings.TrimPrefix(key, prefix)); err == nil && strings.HasPrefix(key, prefix) && k >= n {
			n, last = k, key
		}
	}
	if p := b.batches[last]; p != nil && !p.isFull && len(p.entries) < tuning.MaxCompletionBatchJobs {
		return last, slices.Clone(p.entries), p.revision
	}
	return prefix + strconv.Itoa(n+1), nil, 0
}

// MarkFull notes that a pack takes no more: its value would be too large.
func (b *Index) MarkFull(key string) {
	if p := b.batches[key]; p != nil {
		p.isFull = true
	}
}

// NextCleanup is the first pack of a share that is such, and those of its jobs (at most so
// many) whose own records do not tell their end yet; without any the pack itself is to
// go. ok is false if there is no pack.
func (b *Index) NextCleanup(most int, such func(shard string) bool) (key, shard string, revision uint64, open []Job, ok bool) {
	for _, key := range slices.Sorted(maps.Keys(b.batches)) {
		shard, _, _ := strings.Cut(strings.TrimPrefix(key, jobs.CompletionBatchPrefix), "/")
		if !such(shard) {
			continue
		}
		for _, name := range b.batches[key].entries {
			ref, _ := jobs.ParseBatchEntry(name)
			if j := b.done[ref]; j.RecordRevision != 0 && len(open) < most {
				open = append(open, j)
			}
		}
		return key, shard, b.batches[key].revision, open, true
	}
	return "", "", 0, nil, false
}
