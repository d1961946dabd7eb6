package chunkedstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

// errChunkMissing means that chunks were deleted after their record was read, because the record was
// written again or deleted.
var errChunkMissing = errors.New("a chunk is missing")

// chunkValues holds the stored values of chunks that have been read already, by key.
type chunkValues map[string]json.RawMessage

// Get implements kvstore.Service.
func (s *Store) Get(ctx context.Context, priority kvstore.Priority, key string) (kvstore.GetResult, error) {
	result, err := s.Service.Get(ctx, priority, key)
	if err != nil || !result.Found {
		return result, err
	}
	result.Row, result.Found, err = s.assembleRecord(ctx, priority, result.Row, nil)
	return result, err
}

// List implements kvstore.Service. Records that are deleted while their chunks are read are left
// out.
func (s *Store) List(ctx context.Context, prefix string) ([]kvstore.KeyValue, uint64, error) {
	rows, revision, err := s.Service.List(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	var knownChunks chunkValues
	records := rows[:0]
	for _, row := range rows {
		ref := chunkRefOf(row.Value)
		if ref == nil {
			records = append(records, row)
			continue
		}
		if knownChunks == nil && !s.recordCache.Contains(ref.ID) {
			// List all chunks once instead of reading each of them.
			if knownChunks, err = s.listChunks(ctx); err != nil {
				return nil, 0, err
			}
		}
		record, found, err := s.assembleRecord(ctx, kvstore.Normal, row, knownChunks)
		if err != nil {
			return nil, 0, err
		}
		if found {
			records = append(records, record)
		}
	}
	return records, revision, nil
}

// listChunks reads all chunks of all records.
func (s *Store) listChunks(ctx context.Context) (chunkValues, error) {
	rows, _, err := s.Service.List(ctx, jobs.ChunkPrefix)
	if err != nil {
		return nil, err
	}
	values := make(chunkValues, len(rows))
	for _, row := range rows {
		values[row.Key] = row.Value
	}
	return values, nil
}

// Watch implements kvstore.Service. If a chunked record has changed again since an event, the event
// may contain the newer value and revision. Changes of chunks are not delivered.
func (s *Store) Watch(ctx context.Context, prefix string, afterRevision uint64) ([]kvstore.Event, uint64, error) {
	events, revision, err := s.Service.Watch(ctx, prefix, afterRevision)
	if err != nil {
		return nil, 0, err
	}
	knownChunks := chunkValues{}
	deliveredEvents := events[:0]
	for _, event := range events {
		switch {
		case strings.HasPrefix(event.Key, jobs.ChunkPrefix):
			knownChunks[event.Key] = event.Value // the chunk was written before the record that refers to it
		case strings.HasPrefix(event.DeletedKey, jobs.ChunkPrefix):
			// Chunks are internal to this package, so their deletion is not delivered.
		case chunkRefOf(event.Value) == nil:
			deliveredEvents = append(deliveredEvents, event)
		default:
			row := kvstore.KeyValue{Key: event.Key, Value: event.Value, Revision: event.Revision}
			row, found, err := s.assembleRecord(ctx, kvstore.Urgent, row, knownChunks)
			if err != nil {
				return nil, 0, err
			}
			if found {
				deliveredEvents = append(deliveredEvents, kvstore.Event{Key: row.Key, Value: row.Value, Revision: row.Revision})
			}
		}
	}
	return deliveredEvents, revision, nil
}

// assembleRecord returns a row with the whole value of the record, given the stored row, which may
// hold a pointer to chunks. If a chunk is missing, the record has changed since the row was read,
// and assembleRecord reads the current row. found is false if the record was deleted. knownChunks
// holds chunks that have been read already.
func (s *Store) assembleRecord(ctx context.Context, priority kvstore.Priority, row kvstore.KeyValue, knownChunks chunkValues) (_ kvstore.KeyValue, found bool, err error) {
	for range tuning.MaxChunkAssembleAttempts {
		ref := chunkRefOf(row.Value)
		if ref == nil {
			return row, true, nil
		}
		value, err := s.readChunks(ctx, priority, row.Key, ref, knownChunks)
		if err == nil {
			row.Value = value
			return row, true, nil
		}
		if !errors.Is(err, errChunkMissing) {
			return kvstore.KeyValue{}, false, err
		}
		currentRecord, err := s.Service.Get(ctx, priority, row.Key)
		if err != nil || !currentRecord.Found {
			return kvstore.KeyValue{}, false, err
		}
		row = currentRecord.Row
	}
	return kvstore.KeyValue{}, false, fmt.Errorf("%w: %s was changed during each attempt to read its chunks", kvstore.ErrUnavailable, row.Key)
}

// readChunks reads and joins a record's chunks. It uses the record cache and knownChunks before it
// reads from the store.
func (s *Store) readChunks(ctx context.Context, priority kvstore.Priority, key string, ref *chunkRef, knownChunks chunkValues) (json.RawMessage, error) {
	if value, ok := s.recordCache.Get(ref.ID); ok {
		return value, nil
	}
	var value []byte
	for number := range ref.Count {
		chunk, err := s.readChunk(ctx, priority, chunkKey(ref.ID, number, key), knownChunks)
		if err != nil {
			return nil, err
		}
		value = append(value, chunk...)
	}
	s.recordCache.Add(ref.ID, value)
	return value, nil
}

// readChunk returns one chunk, from knownChunks or from the store. It returns errChunkMissing if the
// chunk does not exist.
func (s *Store) readChunk(ctx context.Context, priority kvstore.Priority, key string, knownChunks chunkValues) ([]byte, error) {
	raw, ok := knownChunks[key]
	if !ok {
		chunk, err := s.Service.Get(ctx, priority, key)
		if err != nil {
			return nil, err
		}
		if !chunk.Found {
			return nil, errChunkMissing
		}
		raw = chunk.Row.Value
	}
	var chunk []byte
	if err := json.Unmarshal(raw, &chunk); err != nil {
		return nil, fmt.Errorf("decode chunk %s: %w", key, err)
	}
	return chunk, nil
}
