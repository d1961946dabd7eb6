package statecache

import (
	"context"
	"errors"
	"strings"
	"time"

	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

// loadedPrefixes are the keys and prefixes that a load lists. Final states are not among them: they
// are kept forever and are looked up one at a time.
var loadedPrefixes = []string{
	jobs.LivenessPrefix, jobs.ShardPrefix, jobs.WorkerPrefix, jobs.JobPrefix, jobs.RangePrefix,
	jobs.CompletionBatchPrefix, jobs.QuotaPrefix, jobs.VersionPrefix,
	jobs.SettingsKey, jobs.MachineTypesKey, jobs.BootTimesKey,
}

// listing is the result of listing all records, one prefix after the other.
type listing struct {
	rows []kvstore.KeyValue
	// oldestRevision and newestRevision are the lowest and the highest revision at which a prefix
	// was listed: the records are complete up to oldestRevision, and some are as new as
	// newestRevision.
	oldestRevision, newestRevision uint64
}

// syncLoop loads the records and watches them for changes until the context ends. It loads them
// again if the watch cannot be resumed.
func (c *Cache) syncLoop(ctx context.Context) {
	delay := tuning.MinRetryDelay
	for ctx.Err() == nil {
		err := c.loadAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		c.log.Info("state cache reload", "error", err)
		if kvstore.Sleep(ctx, delay) != nil {
			return
		}
		delay = min(2*delay, tuning.MaxRetryDelay)
	}
}

// loadAndWatch loads all records and watches them for changes until the watch cannot be resumed. It
// always returns an error, which is that of ctx if ctx has ended.
func (c *Cache) loadAndWatch(ctx context.Context) error {
	fullListing, err := c.list(ctx)
	if err != nil {
		return err
	}
	c.mailbox.Send(func() { c.applyListing(fullListing) })
	return c.watch(ctx, fullListing.oldestRevision)
}

// list lists the records of all loadedPrefixes.
func (c *Cache) list(ctx context.Context) (listing, error) {
	var fullListing listing
	for i, prefix := range loadedPrefixes {
		rows, revision, err := c.store.List(ctx, prefix)
		if err != nil {
			return listing{}, err
		}
		// The first revision of a new store is 0, so 0 cannot stand for "none yet".
		if i == 0 || revision < fullListing.oldestRevision {
			fullListing.oldestRevision = revision
		}
		fullListing.newestRevision = max(fullListing.newestRevision, revision)
		fullListing.rows = append(fullListing.rows, rows...)
	}
	return fullListing, nil
}

// applyListing replaces the contents of the cache by a listing. If the records changed while they
// were listed, the cache is synced only after the watch has delivered these changes.
func (c *Cache) applyListing(fullListing listing) {
	c.reset()
	c.State.Dependencies().Batch(func() {
		for _, row := range fullListing.rows {
			c.ApplyWrite(row.Key, row.Value, row.Revision)
		}
	})
	c.appliedRevision, c.loadedRevision = fullListing.oldestRevision, fullListing.newestRevision
	c.lastContactAt = time.Now()
	if fullListing.oldestRevision >= fullListing.newestRevision {
		c.markSynced()
	}
	c.serveRevisionWaiters()
	c.hooks.PipelineEvents(nil, true)
}

// watch receives and applies the changes after a revision. It returns when the context ends or the
// watch cannot be resumed (kvstore.ErrExpired); after other errors it repeats the request.
func (c *Cache) watch(ctx context.Context, afterRevision uint64) error {
	for ctx.Err() == nil {
		watchCtx, cancel := context.WithCancel(ctx)
		c.mailbox.Send(func() { c.cancelWatch = cancel })
		events, revision, err := c.store.Watch(watchCtx, jobs.Prefix, afterRevision)
		cancel()
		if errors.Is(err, kvstore.ErrExpired) {
			return err
		}
		delay := tuning.MinRetryDelay
		if err == nil {
			afterRevision = max(afterRevision, revision)
			c.mailbox.Send(func() { c.ApplyEvents(events, revision) })
			delay = tuning.MinWatchRequestGap
		}
		if kvstore.Sleep(ctx, delay) != nil {
			return ctx.Err()
		}
	}
	return ctx.Err()
}

// markSynced records that the cache holds a complete load, so that Synced returns true.
func (c *Cache) markSynced() {
	if c.synced {
		return
	}
	c.synced = true
	c.State.MarkDirty()
	jobCount, machineCount := c.State.Sizes()
	c.log.Info("state cache loaded", "jobs", jobCount, "workers", machineCount, "revision", c.appliedRevision)
}

// ApplyEvents applies the events that the watch has delivered. With them, the cache contains all
// changes up to revision.
func (c *Cache) ApplyEvents(events []kvstore.Event, revision uint64) {
	var pipelineEvents []kvstore.Event
	for _, event := range events {
		switch {
		case strings.HasPrefix(event.Key+event.DeletedKey, jobs.OpaquePrefix):
			pipelineEvents = append(pipelineEvents, event)
		case event.DeletedKey != "":
			c.ApplyDelete(event.DeletedKey, event.Revision)
		default:
			c.ApplyWrite(event.Key, event.Value, event.Revision)
		}
	}
	if len(pipelineEvents) > 0 {
		c.hooks.PipelineEvents(pipelineEvents, false)
	}
	c.appliedRevision = max(c.appliedRevision, revision)
	c.lastContactAt = time.Now()
	c.removeTombstones()
	if c.appliedRevision >= c.loadedRevision {
		c.markSynced()
	}
	// Records of pipelines are not part of the cluster state, so their changes alone give no reason
	// to schedule.
	onlyPipelineEvents := len(pipelineEvents) > 0 && len(pipelineEvents) == len(events)
	if !onlyPipelineEvents {
		c.State.MarkDirty()
	}
	c.serveRevisionWaiters()
	c.advanceReadBarrier(time.Now())
	c.hooks.WatchEventsApplied()
}

// removeTombstones removes the tombstones up to appliedRevision: the watch delivers no older writes
// of their keys any more.
func (c *Cache) removeTombstones() {
	for key, revision := range c.tombstones {
		if revision <= c.appliedRevision {
			delete(c.tombstones, key)
		}
	}
}

// restartStuckWatch restarts the watch request if, for longer than tuning.WatchStuckAfter, the cache
// has lagged behind the newest revision that a read has returned. The connection of the watch may be
// dead without having reported an error.
func (c *Cache) restartStuckWatch(now time.Time) {
	if c.readBarrier.NewestRevision() <= c.appliedRevision {
		c.watchBehindSince = time.Time{}
		return
	}
	if c.watchBehindSince.IsZero() {
		c.watchBehindSince = now
		return
	}
	if now.Sub(c.watchBehindSince) > tuning.WatchStuckAfter && c.cancelWatch != nil {
		c.cancelWatch()
		c.watchBehindSince = time.Time{}
	}
}

// ReadBarrier calls done(true) on the actor as soon as the cache contains all changes committed
// before this call, so that a read of the cache is then linearizable. It calls done(false) if that
// takes too long or the store cannot be read. Several callers share one request to the store; if one of them is
// urgent, the request is sent sooner instead of waiting for further callers.
func (c *Cache) ReadBarrier(urgent bool, done func(ok bool)) {
	c.readBarrier.Wait(time.Now(), urgent, done)
}

// readRevision reads the store's revision for the callers that wait at the read barrier.
func (c *Cache) readRevision(startedAt time.Time) {
	go func() {
		// No record has this key. The response for a missing key contains the store's revision.
		result, err := c.store.Get(c.mailbox.Context(), kvstore.Urgent, jobs.Prefix+"none")
		c.mailbox.Send(func() {
			now := time.Now()
			c.readBarrier.CompleteRead(now, readTimestamp(startedAt, now), result.StoreRevision, err)
			if err == nil {
				c.lastContactAt = now
				c.advanceReadBarrier(now)
			}
			c.readBarrier.StartIfDue(time.Now())
		})
	}()
}

// readTimestamp returns the moment as of which the result of a read is current: when the request was
// sent, not when the response was received, since the store may have read its revision immediately
// and committed further changes before the response arrived. Tests replace this function to check
// that they would detect the wrong choice.
var readTimestamp = func(sentAt, _ time.Time) time.Time { return sentAt }

// advanceReadBarrier completes the calls of ReadBarrier that wait for a revision which the cache has
// reached. It sets consistentAsOf before it calls their done functions, since these functions may
// read consistentAsOf.
func (c *Cache) advanceReadBarrier(now time.Time) {
	consistentAsOf, serve := c.readBarrier.Advance(now, c.appliedRevision, c.synced)
	if consistentAsOf.After(c.consistentAsOf) {
		c.consistentAsOf = consistentAsOf
	}
	serve()
}
