package statecache

// revisionWaiter is a call of WhenApplied that has not been answered yet.
type revisionWaiter struct {
	revision uint64
	done     func()
}

// WhenApplied calls done on the actor as soon as the cache contains all changes up to a revision,
// immediately if it contains them already.
//
// A transaction whose conditions did not hold proves that a record has changed, but not how: an
// earlier attempt of the same transaction, whose outcome was unknown, may have changed it. What
// depends on the record may be decided only once the cache has reached the revision of the refusal.
func (c *Cache) WhenApplied(revision uint64, done func()) {
	if c.synced && c.appliedRevision >= revision {
		done()
		return
	}
	c.revisionWaiters = append(c.revisionWaiters, revisionWaiter{revision, done})
}

// serveRevisionWaiters answers the calls of WhenApplied whose revision the cache has reached.
func (c *Cache) serveRevisionWaiters() {
	if !c.synced {
		return
	}
	waiters := c.revisionWaiters
	c.revisionWaiters = nil
	for _, waiter := range waiters {
		c.WhenApplied(waiter.revision, waiter.done)
	}
}
