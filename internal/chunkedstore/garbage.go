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
// That a record does not point to its chunks yet proves nothing, as it may be about to be written:
// only chunks found so in two passes are deleted, provided that the record is still unchanged.
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

// deleteChunks deletes chunks in order, the first one first, as long as their record has the
// given revision.
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
		if !result.Succeeded {
			return nil
		}
	}
	return nil
}
