// Package mirror keeps this controller's copy of the records of the state service: it
// loads and follows them, has them written, and knows how fresh the copy is. What the
// records say goes to the books and to the slices that own it.
package statecache

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/admin"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/completionbatch"
	"cherrywall/internal/config"
	"cherrywall/internal/featuregate"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/machinetype"
	"cherrywall/internal/membership"
	"cherrywall/internal/quota"
	"cherrywall/internal/readbarrier"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Store is what the mirror needs of the state service.
type Store = kvstore.Service

// Hooks are called when something has happened that others act on.
type Hooks struct {
	Reset               func()                        // all is read anew
	MachineOwnerChanged func(m *clusterstate.Machine) // a machine's share has a new holder, this controller or another
	MachineMoved        func(m *clusterstate.Machine) // a machine was given to another share
	MachineRemoved      func(m *clusterstate.Machine) // its record is no more
	CaughtUp            func()                        // the watch has told more
	// AwaitHandover tells whether a share that another controller holds well is to be waited
	// for a moment longer, since that one was asked to hand it over.
	AwaitHandover func(id string, now time.Time) (wait bool)
	// ControllerFailed tells whether a controller is judged to have failed though its grant runs.
	ControllerFailed func(node string, now time.Time) bool
	// ShardAcquired is called when a controller has taken a share.
	ShardAcquired func(holder string)
	// OwnerRecordWritten is called for each record that the holder of a share alone writes.
	OwnerRecordWritten func(share string)
	// JobCancelled is called when a job becomes known to be cancelled, by the record of a
	// revision, before its claims go from the books. done are its tasks that were.
	JobCancelled func(ref string, done int, stamp uint64)
	SetLogLevel  func(level string) // the operators set the log level
	// FeaturesEnabled is called when all controllers are known to run a program like this one.
	FeaturesEnabled func()
	// PipelineEvents gets the changes of records that only pass through here (jobs.ApartPrefix);
	// anew tells that some were missed, and all have to be read.
	PipelineEvents func(news []kvstore.Event, anew bool)
}

// Dependencies are what the records tell of.
type Dependencies struct {
	State             *clusterstate.State
	Membership        *membership.Table
	MachineTypes      *machinetype.Catalog
	CompletionBatches *completionbatch.Index
	// Quotas are the limits of teams.
	Quotas *quota.Allocations
	// FeatureGate tells whether all controllers know what this program knows.
	FeatureGate *featuregate.Gate
}

// Cache has no locks: one actor owns it.
type Cache struct {
	Dependencies
	mailbox     *actor.Mailbox
	cfg         *config.Config
	incarnation uint64
	store       Store
	log         *slog.Logger
	hooks       Hooks

	synced           bool
	appliedRevision  uint64 // all changes up to this revision are known
	loadedRevision   uint64
	consistentAsOf   time.Time // all that was decided before this moment is known
	lastContactAt    time.Time // last answer of the state service
	tombstones       map[string]uint64
	finalStates      *lru.Cache[string, jobs.FinalState]
	readBarrier      *readbarrier.Queue
	cancelWatch      context.CancelFunc // ends the watch request under way
	watchBehindSince time.Time          // since when the watch is, see checkWatch

	settings             admin.Settings
	settingsRevision     uint64
	acquiring            map[string]bool // shares
	acquisitionStopped   bool            // see TakeNoMore
	livenessEnabled      atomic.Bool     // told to keepAlive
	rewriteLiveness      atomic.Bool     // the same, see checkLife
	livenessMissingSince time.Time       // since when, see checkLife
	writingVersion       bool            // the mark of this program is being written
	featuresEnabled      bool            // hooks.Opened was called
	finalLookups         int             // for fates, see askFates
	quarantined          map[string]QuarantinedRecord
}

// New makes a mirror that knows nothing; Start has it follow the state service.
func New(mailbox *actor.Mailbox, cfg *config.Config, boot uint64, store Store, dependencies Dependencies, hooks Hooks, log *slog.Logger) *Cache {
	finals, err := lru.New[string, jobs.FinalState](tuning.MaxCachedFinalStates)
	if err != nil {
		panic(err) // only a size below 1 can fail
	}
	m := &Cache{Dependencies: dependencies, mailbox: mailbox, cfg: cfg, incarnation: boot, store: store, log: log, hooks: hooks, finalStates: finals,
		settings: admin.DefaultSettings(), acquiring: map[string]bool{}, tombstones: map[string]uint64{}, quarantined: map[string]QuarantinedRecord{}}
	m.readBarrier = readbarrier.New(m.readRevision, func() { mailbox.Send(func() { m.readBarrier.HandleTimer(time.Now()) }) })
	m.livenessEnabled.Store(true)
	m.State.Dependencies().SetRememberedState(func(ref string) jobdag.FinalState {
		final, _ := m.Final(ref)
		return jobdag.FinalStateOf(final.Status)
	})
	return m
}

// Start follows the state service until the actor ends.
func (m *Cache) Start() {
	go m.syncLoop(m.mailbox.Context())
	go m.maintainLiveness(m.mailbox.Context())
}

// Synced tells whether all records were read.
func (m *Cache) Synced() bool { return m.synced }

// AppliedRevision is the revision up to which all changes are known.
func (m *Cache) AppliedRevision() uint64 { return m.appliedRevision }

// LastContactAt is when the state service last answered.
func (m *Cache) LastContactAt() time.Time { return m.lastContactAt }

// IsStale tells whether too little is known of the last moments to change what others may
// have changed as well.
func (m *Cache) IsStale(now time.Time) bool {
	return now.Sub(m.consistentAsOf) > tuning.ControllerLeaseTTL
}

// ConsistentAsOf is the moment up to which all that was decided is known.
func (m *Cache) ConsistentAsOf() time.Time { return m.consistentAsOf }

// MayRenewWorkerLeases tells whether workers may be kept alive: config.MayAnswer.
func (m *Cache) MayRenewWorkerLeases(now time.Time) bool {
	return m.synced && m.cfg.MayAnswerHeartbeats(now, m.consistentAsOf)
}

// Settings are the operators' in force, and their version.
func (m *Cache) Settings() (admin.Settings, uint64) { return m.settings, m.settingsRevision }

// Tick does what is due from time to time.
func (m *Cache) Tick(now time.Time) {
	m.restartStuckWatch(now)
	m.checkLivenessRecord(now)
	m.writeVersionRecord()
	m.lookUpDependencyFinals(now)
	m.AcquireShards(now)
	m.readBarrier.StartIfDue(now)
}

func (m *Cache) reset() {
	m.synced = false
	m.tombstones = map[string]uint64{}
	m.quarantined = map[string]QuarantinedRecord{}
	m.Membership.Reset()
	m.State.Reset()
	m.CompletionBatches.Reset()
	m.Quotas.Reset()
	m.FeatureGate.Reset()
	m.hooks.Reset()
}

// syncLoop loads the records and follows their changes for ever.
func (m *Cache) syncLoop(ctx context.Context) {
	pause := tuning.MinRetryDelay
	for ctx.Err() == nil {
		err := m.loadAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		m.log.Info("mirror reload", "error", err)
		if kvstore.Pause(ctx, pause) != nil {
			return
		}
		pause = min(2*pause, tuning.MaxRetryDelay)
	}
}

func (m *Cache) loadAndWatch(ctx context.Context) error {
	var all []kvstore.KeyValue
	var from, upTo uint64
	// Final states are left out: they are kept for ever and asked for singly.
	for n, prefix := range []string{jobs.LivenessPrefix, jobs.ShardPrefix, jobs.WorkerPrefix, jobs.JobPrefix, jobs.RangePrefix, jobs.CompletionBatchPrefix, jobs.QuotaPrefix,
		jobs.VersionPrefix,
		jobs.SettingsKey, jobs.MachineTypesKey, jobs.BootTimesKey} {
		rows, revision, err := m.store.List(ctx, prefix)
		if err != nil {
			return err
		}
		// The first revision of a new service is 0: no mark for "none yet".
		if n == 0 || revision < from {
			from = revision
		}
		upTo = max(upTo, revision)
		all = append(all, rows...)
	}
	loaded := from // the loop below moves from on
	m.mailbox.Send(func() {
		m.reset()
		for _, row := range all {
			m.ApplyWrite(row.Key, row.Value, row.Revision)
		}
		m.appliedRevision, m.loadedRevision = loaded, upTo
		m.lastContactAt = time.Now()
		if loaded >= upTo {
			m.markSynced()
		}
		m.hooks.PipelineEvents(nil, true)
	})
	for ctx.Err() == nil {
		wctx, kick := context.WithCancel(ctx)
		m.mailbox.Send(func() { m.cancelWatch = kick })
		events, revision, err := m.store.Watch(wctx, jobs.Prefix, from)
		kick()
		switch {
		case err == nil:
			from = max(from, revision)
			m.mailbox.Send(func() { m.ApplyEvents(events, revision) })
			if kvstore.Pause(ctx, tuning.MinWatchRequestGap) != nil {
				return ctx.Err()
			}
		case errors.Is(err, kvstore.ErrExpired):
			return err
		default:
			if kvstore.Pause(ctx, tuning.MinRetryDelay) != nil {
				return ctx.Err()
			}
		}
	}
	return ctx.Err()
}

func (m *Cache) markSynced() {
	if !m.synced {
		m.synced = true
		m.State.MarkDirty()
		jobs, machines := m.State.Sizes()
		m.log.Info("mirror loaded", "jobs", jobs, "workers", machines, "epoch", m.appliedRevision)
	}
}

// ApplyEvents takes in what the watch has told: all changes up to a revision.
func (m *Cache) ApplyEvents(events []kvstore.Event, revision uint64) {
	var apart []kvstore.Event
	for _, event := range events {
		switch {
		case strings.HasPrefix(event.Key+event.DeletedKey, jobs.OpaquePrefix):
			apart = append(apart, event)
		case event.DeletedKey != "":
			m.ApplyDelete(event.DeletedKey, event.Revision)
		default:
			m.ApplyWrite(event.Key, event.Value, event.Revision)
		}
	}
	if len(apart) > 0 {
		m.hooks.PipelineEvents(apart, false)
	}
	m.appliedRevision = max(m.appliedRevision, revision)
	m.lastContactAt = time.Now()
	for k, s := range m.tombstones {
		if s <= m.appliedRevision {
			delete(m.tombstones, k)
		}
	}
	if m.appliedRevision >= m.loadedRevision {
		m.markSynced()
	}
	if len(apart) == 0 || len(apart) < len(events) {
		m.State.MarkDirty()
	}
	m.advanceReadBarrier(time.Now())
	m.hooks.CaughtUp()
}

// restartStuckWatch restarts a watch that lies behind a revision known from
// elsewhere: its connection may be dead without an error.
func (m *Cache) restartStuckWatch(now time.Time) {
	if m.readBarrier.NewestRevision() <= m.appliedRevision {
		m.watchBehindSince = time.Time{}
		return
	}
	if m.watchBehindSince.IsZero() {
		m.watchBehindSince = now
	} else if now.Sub(m.watchBehindSince) > tuning.WatchStuckAfter && m.cancelWatch != nil {
		m.cancelWatch()
		m.watchBehindSince = time.Time{}
	}
}

// ApplyWrite follows a record that was written.
func (m *Cache) ApplyWrite(key string, value json.RawMessage, revision uint64) {
	if m.tombstones[key] > revision {
		return
	}
	var err error
	switch {
	case strings.HasPrefix(key, jobs.LivenessPrefix):
		err = m.Membership.ApplyLiveness(key[len(jobs.LivenessPrefix):], value, revision, time.Now())
	case strings.HasPrefix(key, jobs.ShardPrefix):
		err = m.applyShard(key[len(jobs.ShardPrefix):], value, revision)
	case strings.HasPrefix(key, jobs.WorkerPrefix):
		var rec workerapi.Record
		if err = json.Unmarshal(value, &rec); err == nil && rec.Shard == "" {
			err = errors.New("share: missing")
		}
		if err == nil {
			if machine, moved := m.State.ApplyMachineRecord(key[len(jobs.WorkerPrefix):], rec, revision); moved && m.synced {
				m.hooks.MachineMoved(machine)
			}
		}
	case strings.HasPrefix(key, jobs.JobPrefix):
		var rec jobs.JobRecord
		if err = json.Unmarshal(value, &rec); err == nil {
			err = rec.Validate()
		}
		if err == nil && rec.Ref != key[len(jobs.JobPrefix):] {
			err = fmt.Errorf("ref: %q", rec.Ref)
		}
		if err == nil && !m.CompletionBatches.JobRecordSeen(rec.Ref, revision) {
			m.State.ApplyJobRecord(&rec, revision, m.synced, m.settings.Spot)
		}
	case strings.HasPrefix(key, jobs.RangePrefix):
		ref, first, ok := parseTaskRangeKey(key)
		var rec jobs.RangeRecord
		if err = json.Unmarshal(value, &rec); err == nil && !ok {
			err = errors.New("key: not of a range")
		}
		if err == nil {
			err = rec.Validate(first)
		}
		if err == nil {
			m.State.ApplyRangeRecord(ref, first, rec, revision, m.synced)
			m.hooks.OwnerRecordWritten(rec.Shard)
		}
	case strings.HasPrefix(key, jobs.CompletionBatchPrefix):
		err = m.applyCompletionBatch(key, value, revision)
	case strings.HasPrefix(key, jobs.QuotaPrefix):
		var team []byte
		if team, err = hex.DecodeString(key[len(jobs.QuotaPrefix):]); err == nil {
			err = m.Quotas.ApplyRecord(string(team), value, revision)
		}
	case strings.HasPrefix(key, jobs.VersionPrefix):
		err = m.applyVersion(key[len(jobs.VersionPrefix):], value, revision)
	case key == jobs.SettingsKey:
		err = m.applySettings(value, revision)
	case key == jobs.MachineTypesKey:
		var used bool
		if used, err = m.MachineTypes.ApplyTypesRecord(value, revision); used {
			m.State.RecountAllMachines()
		}
	case key == jobs.BootTimesKey:
		err = m.MachineTypes.ApplyBootTimesRecord(value, revision)
	case strings.HasPrefix(key, jobs.FinalPrefix):
		var final jobs.FinalState
		if err = json.Unmarshal(value, &final); err == nil {
			ref := key[len(jobs.FinalPrefix):]
			if _, known := m.Final(ref); !known && final.Status == jobs.Cancelled {
				m.hooks.JobCancelled(ref, final.Tasks, revision)
			}
			m.applyFinal(ref, final)
		}
	}
	m.updateQuarantine(key, value, revision, err)
	m.State.MarkDirty()
}

// QuarantinedRecord is a record that can't be followed: damaged, impossible, or of a later program. It is
// left alone, nothing is done of what it says, and the rest goes on.
type QuarantinedRecord struct {
	Key      string `json:"key"`
	Revision uint64 `json:"stamp"`
	Error    string `json:"error"`
	Value    string `json:"value"` // its beginning
}

func (m *Cache) updateQuarantine(key string, value json.RawMessage, revision uint64, err error) {
	if err == nil {
		delete(m.quarantined, key)
		return
	}
	m.log.Error("record set aside", "key", key, "stamp", revision, "error", err)
	m.quarantined[key] = QuarantinedRecord{key, revision, err.Error(), string(value[:min(len(value), tuning.MaxQuarantinedRecordBytes)])}
}

// QuarantinedRecords are the records that were set aside, by key: the first of them, should they be many.
func (m *Cache) QuarantinedRecords() []QuarantinedRecord {
	var out []QuarantinedRecord
	keys := slices.Sorted(maps.Keys(m.quarantined))
	for _, key := range keys[:min(len(keys), tuning.MaxListedQuarantinedRecords)] {
		out = append(out, m.quarantined[key])
	}
	return out
}

// IsQuarantined tells whether a record was set aside.
func (m *Cache) IsQuarantined(key string) bool {
	_, yes := m.quarantined[key]
	return yes
}

func parseTaskRangeKey(key string) (string, int, bool) {
	rest := key[len(jobs.RangePrefix):]
	ref, num, ok := strings.Cut(rest, "/")
	first, err := strconv.Atoi(num)
	return ref, first, ok && err == nil
}

// ApplyDelete follows the end of a record.
func (m *Cache) ApplyDelete(key string, revision uint64) {
	if revision > m.appliedRevision {
		m.tombstones[key] = max(m.tombstones[key], revision)
	}
	delete(m.quarantined, key)
	switch {
	case strings.HasPrefix(key, jobs.LivenessPrefix):
		m.Membership.RemoveLiveness(key[len(jobs.LivenessPrefix):], revision)
	case strings.HasPrefix(key, jobs.WorkerPrefix):
		if machine := m.State.ApplyMachineDeletion(key[len(jobs.WorkerPrefix):], revision); machine != nil {
			m.hooks.MachineRemoved(machine)
		}
	case strings.HasPrefix(key, jobs.JobPrefix):
		ref := key[len(jobs.JobPrefix):]
		m.State.ApplyJobDeletion(ref, revision)
		m.CompletionBatches.JobRecordDeleted(ref, revision)
	case strings.HasPrefix(key, jobs.CompletionBatchPrefix):
		m.CompletionBatches.RemoveBatch(key, revision)
	case strings.HasPrefix(key, jobs.RangePrefix):
		if ref, first, ok := parseTaskRangeKey(key); ok {
			m.State.ApplyRangeDeletion(ref, first, revision)
		}
	}
	m.State.MarkDirty()
}

// applyCompletionBatch follows a pack: its jobs are over.
func (m *Cache) applyCompletionBatch(key string, value json.RawMessage, revision uint64) error {
	news, err := m.CompletionBatches.ApplyBatch(key, value, revision)
	for _, x := range news {
		m.applyFinal(x.Ref, jobs.FinalState{Status: jobs.Done, Tasks: x.Tasks})
		if job := m.State.Job(x.Ref); job != nil {
			m.CompletionBatches.JobRecordSeen(x.Ref, job.Revision())
			m.State.EndJob(job)
		}
	}
	return err
}

func (m *Cache) applySettings(value json.RawMessage, revision uint64) error {
	if revision <= m.settingsRevision {
		return nil
	}
	settings := admin.DefaultSettings()
	if err := json.Unmarshal(value, &settings); err != nil {
		return err
	}
	m.settings, m.settingsRevision = settings, revision
	m.hooks.SetLogLevel(settings.LogLevel)
	m.State.RecountAllMachines()
	return nil
}

// Final is a job's final state, if that is known here.
func (m *Cache) Final(ref string) (jobs.FinalState, bool) {
	if final, packed := m.CompletionBatches.FinalState(ref); packed {
		return final, true
	}
	return m.finalStates.Get(ref)
}

// LookUpFinal asks for a final state that is not remembered; there may be none.
func (m *Cache) LookUpFinal(ref string, done func(final jobs.FinalState, found bool, err error)) {
	go func() {
		row, found, _, err := m.store.Get(m.mailbox.Context(), kvstore.Normal, jobs.FinalKey(ref))
		m.mailbox.Send(func() {
			var final jobs.FinalState
			if err == nil && found {
				if err = json.Unmarshal(row.Value, &final); err == nil {
					m.applyFinal(ref, final)
				}
			}
			done(final, found, err)
		})
	}()
}

// ReadBarrier calls done once the mirror is at least as new as now.
func (m *Cache) ReadBarrier(urgent bool, done func(ok bool)) {
	m.readBarrier.Wait(time.Now(), urgent, done)
}

// readRevision asks the state service for its revision, for those that wait in reads.
func (m *Cache) readRevision(started time.Time) {
	go func() {
		// The key never exists; the answer carries the revision.
		_, _, revision, err := m.store.Get(m.mailbox.Context(), kvstore.Urgent, jobs.Prefix+"none")
		m.mailbox.Send(func() {
			now := time.Now()
			m.readBarrier.CompleteRead(now, readTimestamp(started, now), revision, err)
			if err == nil {
				m.lastContactAt = now
				m.advanceReadBarrier(now)
			}
			m.readBarrier.StartIfDue(time.Now())
		})
	}()
}

// readTimestamp is the moment as of which an answer counts as known, of when it was asked for and
// when it came: the service may have looked as soon as it was asked. Other than so in a
// broken variant of the tests.
var readTimestamp = func(asked, _ time.Time) time.Time { return asked }

func (m *Cache) advanceReadBarrier(now time.Time) {
	known, serve := m.readBarrier.Advance(now, m.appliedRevision, m.synced)
	if known.After(m.consistentAsOf) {
		m.consistentAsOf = known
	}
	serve()
}
