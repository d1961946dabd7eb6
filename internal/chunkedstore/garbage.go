package chunkedstore

import (
	"context"
	"slices"
	"strings"

	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

// RunGarbageCollector deletes chunks to which no record points, periodically until the context
// ends; isResponsible reports whether that is this controller's duty at the moment.
//
// A record that does not point to its chunks may be about to be written, so chunks are deleted only
// if no record pointed to them in two successive passes, and the record is unchanged since it was
// read in the second.
func (s *Store) RunGarbageCollector(ctx context.Context, isResponsible func() bool) {
	for kvstore.Pause(ctx, tuning.ChunkCleanupInterval) == nil {
		if !s.enabled.Load() || !isResponsible() {
			continue
		}
		if err := s.collectGarbage(ctx); err != nil && ctx.Err() == nil {
			s.log.Info("garbage collection of chunks failed", "error", err)
		}
	}
}

// chunkSet is the chunks of one id, in order.
type chunkSet struct {
	recordKey string
	chunks    []kvstore.KeyValue
}

// collectGarbage does one pass: it deletes the chunks that were orphans in the pass before, too, and
// remembers the other orphans for the next one.
func (s *Store) collectGarbage(ctx context.Context) error {
	rows, _, err := s.Service.List(ctx, jobs.ChunkPrefix)
	if err != nil {
		return err
	}
	candidates := map[string]bool{}
	for id, set := range groupChunks(rows) {
		record, _, _, err := s.Service.Get(ctx, kvstore.Background, set.recordKey)
		if err != nil {
			return err
		}
		if ref := chunkRefOf(record.Value); ref != nil && ref.ID == id {
			continue
		}
		if !s.orphanCandidates[id] {
			candidates[id] = true
			continue
		}
		if err := s.deleteChunks(ctx, set, record.Revision); err != nil {
			return err
		}
	}
	s.orphanCandidates = candidates
	return nil
}

// groupChunks groups the rows of chunks by id.
func groupChunks(rows []kvstore.KeyValue) map[string]*chunkSet {
	sets := map[string]*chunkSet{}
	for _, row := range rows {
		id, rest, _ := strings.Cut(row.Key[len(jobs.ChunkPrefix):], "/")
		_, recordKey, ok := strings.Cut(rest, "/")
		if !ok {
			continue
		}
		if sets[id] == nil {
			sets[id] = &chunkSet{recordKey: recordKey}
		}
		sets[id].chunks = append(sets[id].chunks, row)
	}
	return sets
}

// deleteChunks deletes chunks as long as their record has the given revision. It deletes the first
// chunk first: a write of the record that is still in flight has the precondition that this chunk
// exists (see Commit), so it cannot succeed once any chunk is missing.
func (s *Store) deleteChunks(ctx context.Context, set *chunkSet, recordRevision uint64) error {
	for batch := range slices.Chunk(set.chunks, s.maxTxnOps) {
		txn := kvstore.Txn{Conditions: []kvstore.Condition{{Key: set.recordKey, Revision: recordRevision}}}
		for _, chunk := range batch {
			txn.Writes = append(txn.Writes, kvstore.Write{DeleteKey: chunk.Key})
		}
		result, err := s.Service.Commit(ctx, kvstore.Background, txn)
		if err != nil {
			return err
		}
		if !result.Succeeded { // the record was written, and may point to the chunks now
			return nil
		}
	}
	return nil
}
