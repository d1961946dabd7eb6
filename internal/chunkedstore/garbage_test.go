package chunkedstore

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"testing"

	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
)

// memoryService is a key-value store in memory, without leases and watches.
type memoryService struct {
	kvstore.Service
	rows     map[string]kvstore.KeyValue
	revision uint64
}

func (m *memoryService) Commit(_ context.Context, _ kvstore.Priority, txn kvstore.Txn) (kvstore.TxnResult, error) {
	for _, condition := range txn.Conditions {
		if m.rows[condition.Key].Revision != condition.Revision {
			return kvstore.TxnResult{FailedKeys: []string{condition.Key}}, nil
		}
	}
	m.revision++
	for _, write := range txn.Writes {
		if write.DeleteKey != "" {
			delete(m.rows, write.DeleteKey)
		} else {
			m.rows[write.Key] = kvstore.KeyValue{Key: write.Key, Value: write.Value, Revision: m.revision}
		}
	}
	return kvstore.TxnResult{Succeeded: true, Revision: m.revision}, nil
}

func (m *memoryService) Get(_ context.Context, _ kvstore.Priority, key string) (kvstore.GetResult, error) {
	row, found := m.rows[key]
	return kvstore.GetResult{Row: row, Found: found, StoreRevision: m.revision}, nil
}

func (m *memoryService) List(_ context.Context, prefix string) ([]kvstore.KeyValue, uint64, error) {
	var rows []kvstore.KeyValue
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(x, y kvstore.KeyValue) int { return strings.Compare(x.Key, y.Key) })
	return rows, m.revision, nil
}

func (m *memoryService) chunkCount() int {
	rows, _, _ := m.List(context.Background(), jobs.ChunkPrefix)
	return len(rows)
}

const recordKey = "cw/job/wk-1"

// newStoreWithChunkedRecord creates a store with one record that is stored in several chunks.
func newStoreWithChunkedRecord(t *testing.T) (*Store, *memoryService, json.RawMessage) {
	t.Helper()
	service := &memoryService{rows: map[string]kvstore.KeyValue{}}
	store := New(service, 7, 100, 2, slog.New(slog.DiscardHandler))
	store.EnableChunking()
	value := kvstore.MustEncode(strings.Repeat("x", 500))
	commit(t, store, kvstore.Write{Key: recordKey, Value: value})
	if count := service.chunkCount(); count < 5 {
		t.Fatalf("%d chunks", count)
	}
	return store, service, value
}

func commit(t *testing.T, store *Store, write kvstore.Write) {
	t.Helper()
	result, err := store.Commit(t.Context(), kvstore.Normal, kvstore.Txn{Writes: []kvstore.Write{write}})
	if err != nil || !result.Succeeded {
		t.Fatalf("%+v, %v", result, err)
	}
}

func collectOnce(t *testing.T, store *Store) {
	t.Helper()
	if err := store.collectGarbage(t.Context()); err != nil {
		t.Fatal(err)
	}
}

func TestReadsReturnWholeChunkedRecord(t *testing.T) {
	store, service, value := newStoreWithChunkedRecord(t)
	if storedValue := service.rows[recordKey].Value; chunkRefOf(storedValue) == nil {
		t.Errorf("the record is stored as %s", storedValue)
	}
	otherStore := New(service, 8, 100, 2, slog.New(slog.DiscardHandler)) // another store, whose cache is empty
	for _, s := range []*Store{store, otherStore} {
		record, err := s.Get(t.Context(), kvstore.Normal, recordKey)
		if err != nil || !record.Found || string(record.Row.Value) != string(value) {
			t.Errorf("%s, found %v, %v", record.Row.Value, record.Found, err)
		}
		rows, _, err := s.List(t.Context(), jobs.JobPrefix)
		if err != nil || len(rows) != 1 || string(rows[0].Value) != string(value) {
			t.Errorf("%v, %v", rows, err)
		}
	}
}

func TestOrphanedChunksAreDeletedInSecondPass(t *testing.T) {
	store, service, _ := newStoreWithChunkedRecord(t)
	countBefore := service.chunkCount()
	collectOnce(t, store)
	collectOnce(t, store)
	if count := service.chunkCount(); count != countBefore {
		t.Fatalf("%d of %d chunks left although a record points to them", count, countBefore)
	}
	commit(t, store, kvstore.Write{DeleteKey: recordKey})
	collectOnce(t, store)
	if count := service.chunkCount(); count != countBefore {
		t.Errorf("%d of %d chunks left after the first pass", count, countBefore)
	}
	collectOnce(t, store)
	if count := service.chunkCount(); count != 0 {
		t.Errorf("%d chunks left after the second pass", count)
	}
}

// A delayed write must not store a pointer to chunks that were deleted in the meantime.
func TestDelayedPointerToDeletedChunksIsNotWritten(t *testing.T) {
	store, service, value := newStoreWithChunkedRecord(t)
	ref, firstRevision, err := store.writeChunks(t.Context(), kvstore.Normal, recordKey, value)
	if err != nil {
		t.Fatal(err)
	}
	collectOnce(t, store)
	collectOnce(t, store)
	result, err := service.Commit(t.Context(), kvstore.Normal, kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: chunkKey(ref.ID, 0, recordKey), Revision: firstRevision}},
		Writes:     []kvstore.Write{{Key: recordKey, Value: kvstore.MustEncode(chunkPointer{Chunks: ref})}},
	})
	if err != nil || result.Succeeded {
		t.Errorf("%+v, %v", result, err)
	}
}
