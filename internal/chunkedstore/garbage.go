package chunkedstore

import (
	"context"
	"slices"
	"strings"

	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

// RunGarbageCollector periodically deletes chunks to which no record points, until the context ends.
// isResponsible reports whether this controller currently deletes these chunks for the cluster.
//
// The write of a record that points to new chunks may still be in progress. Therefore chunks are
// deleted only if no record pointed to them in two successive passes, and the record for which they
// were written has not changed since the second pass read it.
func (s *Store) RunGarbageCollector(ctx context.Context, isResponsible func() bool) {
	for kvstore.Sleep(ctx, tuning.ChunkCleanupInterval) == nil {
		if !s.chunkingEnabled.Load() || !isResponsible() {
			continue
		}
		if err := s.collectGarbage(ctx); err != nil && ctx.Err() == nil {
			s.log.Info("garbage collection of chunks failed", "error", err)
		}
	}
}

// chunkSet holds the chunks of one record that were written together and so have the same id, in
// order.
type chunkSet struct {
	recordKey string
	chunks    []kvstore.KeyValue
}

// collectGarbage does one pass over all chunks. Orphans are chunks to which no record points. The pass
// deletes the orphans that already were orphans in the previous pass, and remembers the other orphans
// for the next pass.
func (s *Store) collectGarbage(ctx context.Context) error {
	rows, _, err := s.Service.List(ctx, jobs.ChunkPrefix)
	if err != nil {
		return err
	}
	candidates := map[string]bool{}
	for id, set := range groupChunks(rows) {
		record, err := s.Service.Get(ctx, kvstore.Background, set.recordKey)
		if err != nil {
			return err
		}
		if ref := chunkRefOf(record.Row.Value); ref != nil && ref.ID == id {
			continue
		}
		if !s.orphanCandidates[id] {
			candidates[id] = true
			continue
		}
		if err := s.deleteChunks(ctx, set, record.Row.Revision); err != nil {
			return err
		}
	}
	s.orphanCandidates = candidates
	return nil
}

// groupChunks groups the rows of chunks by the id of the chunks.
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

// deleteChunks deletes chunks, provided that the record for which they were written still has the
// given revision. It deletes the first chunk first: Commit adds the precondition that the first
// chunk exists to each write that points to chunks, so a delayed write of the record cannot succeed
// once any chunk is missing.
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
		if !result.Succeeded { // the record was written in the meantime, and may point to the chunks now
			return nil
		}
	}
	return nil
}
