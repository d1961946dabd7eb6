package kvstore

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cherrywall/internal/tuning"

	"golang.org/x/time/rate"
)

const (
	// minRequestBurst and minWriteBurst bound the bursts from below, so that a small budget
	// still lets a transaction of several writes pass.
	minRequestBurst = 1
	minWriteBurst   = 8
)

// budget limits the requests and writes of this controller. The limits of the service are
// shared by all controllers, of which some need more than others: each takes more than an equal
// fraction until the service answers that it is over its limits. It is safe for concurrent use.
type budget struct {
	requestLimiter *rate.Limiter
	writeLimiter   *rate.Limiter

	// The service's limits and the number of controllers under them.
	totalRequestRate, totalWriteRate float64 // per second
	controllers                      int
	minFraction                      float64

	mu                sync.Mutex
	fraction          float64 // of the total rates, learned from rate limiting
	fractionChangedAt time.Time
	rateLimitedAt     time.Time
	peerUsage         map[string]usage // by controller, per second
	currentUsage      usage            // counted since its recordedAt
	averageUsage      usage            // per second, smoothed
}

// usage is an amount of requests and writes, with the time at which a peer reported it or from
// which on it is counted.
type usage struct {
	requests, writes float64
	recordedAt       time.Time
}

// newBudget makes the budget of one of several controllers under the service's limits, which
// are rates per second.
func newBudget(totalRequestRate, totalWriteRate float64, controllers int) *budget {
	controllers = max(controllers, 1)
	minFraction := tuning.EvenBudgetFraction / float64(controllers)
	fraction := max(tuning.ControllerBudgetFraction, minFraction)
	return &budget{
		requestLimiter: rate.NewLimiter(rate.Limit(totalRequestRate*fraction),
			max(minRequestBurst, int(totalRequestRate*minFraction))),
		writeLimiter: rate.NewLimiter(rate.Limit(totalWriteRate*fraction),
			max(minWriteBurst, int(totalWriteRate*minFraction))),
		totalRequestRate:  totalRequestRate,
		totalWriteRate:    totalWriteRate,
		controllers:       controllers,
		minFraction:       minFraction,
		fraction:          fraction,
		fractionChangedAt: time.Now(),
		peerUsage:         map[string]usage{},
		currentUsage:      usage{recordedAt: time.Now()},
	}
}

// adapt changes this controller's fraction of the service's limits after a request: it shrinks
// when the request was rate limited, and grows back slowly otherwise.
func (b *budget) adapt(rateLimited bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	switch {
	case rateLimited:
		b.fraction = max(b.minFraction, b.fraction*tuning.BudgetBackoffFactor)
		b.rateLimitedAt = now
	case now.Sub(b.fractionChangedAt) < tuning.BudgetRecoveryInterval:
		return
	default:
		maxFraction := max(tuning.ControllerBudgetFraction, b.minFraction)
		b.fraction = min(maxFraction, b.fraction/tuning.BudgetBackoffFactor)
	}
	b.fractionChangedAt = now
	b.updateLimits(now) // even if the fraction is unchanged: the peers' reports may have expired
}

// updateLimits sets the rates of the limiters. If all peers have reported their usage lately,
// this controller takes what they leave; otherwise the fraction that it learned from being rate
// limited. Shortly after it was rate limited it takes the lesser of both, since others than
// controllers may use the service as well. The caller holds the lock.
func (b *budget) updateLimits(now time.Time) {
	requestRate, writeRate := b.totalRequestRate*b.fraction, b.totalWriteRate*b.fraction
	if peers, complete := b.totalPeerUsage(now); complete {
		remainingRequests := b.remainingRate(b.totalRequestRate, peers.requests)
		remainingWrites := b.remainingRate(b.totalWriteRate, peers.writes)
		if now.Sub(b.rateLimitedAt) < tuning.BudgetRecoveryInterval {
			remainingRequests = min(remainingRequests, requestRate)
			remainingWrites = min(remainingWrites, writeRate)
		}
		requestRate, writeRate = remainingRequests, remainingWrites
	}
	b.requestLimiter.SetLimit(rate.Limit(requestRate))
	b.writeLimiter.SetLimit(rate.Limit(writeRate))
}

// totalPeerUsage sums what the peers have reported lately; complete is false if there are no
// peers or one of them has not reported.
func (b *budget) totalPeerUsage(now time.Time) (total usage, complete bool) {
	reporting := 1 // this controller
	for _, peer := range b.peerUsage {
		if now.Sub(peer.recordedAt) < tuning.PeerIdleTimeout {
			reporting++
			total.requests += peer.requests
			total.writes += peer.writes
		}
	}
	return total, reporting >= b.controllers && b.controllers > 1
}

// remainingRate is what the usage of the peers leaves of one of the service's limits.
func (b *budget) remainingRate(total, used float64) float64 {
	usable := tuning.ReportedBudgetFactor * total
	return min(max(usable-used, tuning.ReportedBudgetFactor*b.minFraction*total), tuning.BusyControllerBudgetFraction*total)
}

// recordPeerUsage notes the requests and writes per second of another controller.
func (b *budget) recordPeerUsage(controller string, requests, writes float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.peerUsage[controller] = usage{requests: requests, writes: writes, recordedAt: now}
	b.updateLimits(now)
}

// usage returns the smoothed requests and writes per second of this controller.
func (b *budget) usage() (requests, writes float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	elapsed := now.Sub(b.currentUsage.recordedAt).Seconds()
	if elapsed >= tuning.PeerHeartbeatInterval.Seconds()/2 {
		weight := elapsed / (elapsed + tuning.BudgetUsageSmoothingPeriod.Seconds())
		b.averageUsage.requests += weight * (b.currentUsage.requests/elapsed - b.averageUsage.requests)
		b.averageUsage.writes += weight * (b.currentUsage.writes/elapsed - b.averageUsage.writes)
		b.currentUsage = usage{recordedAt: now}
	}
	return b.averageUsage.requests, b.averageUsage.writes
}

// recordRequest counts a request and its writes in this controller's usage.
func (b *budget) recordRequest(writes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentUsage.requests++
	b.currentUsage.writes += float64(writes)
}

// await waits until the budget allows a request with the given number of writes, and spends it.
// Callers of lower priority leave a part of the burst to the others. It fails only if ctx
// ends, or would end before, with ErrUnavailable: the request was not sent.
func (b *budget) await(ctx context.Context, priority Priority, writes int) error {
	b.recordRequest(writes) // before it waits: the usage reported to the peers includes what is needed
	for b.burstReserved(priority, writes) {
		if err := Pause(ctx, tuning.BudgetPollInterval); err != nil {
			return budgetError(err)
		}
	}
	if err := b.requestLimiter.Wait(ctx); err != nil {
		return budgetError(err)
	}
	if writes == 0 {
		return nil
	}
	if err := b.writeLimiter.WaitN(ctx, min(writes, b.writeLimiter.Burst())); err != nil {
		return budgetError(err)
	}
	return nil
}

// burstReserved reports whether what is left of the bursts is reserved for more urgent callers.
func (b *budget) burstReserved(priority Priority, writes int) bool {
	reserve := priority.reservedBurst()
	if b.requestLimiter.Tokens() < reserve*float64(b.requestLimiter.Burst()) {
		return true
	}
	return writes > 0 && b.writeLimiter.Tokens() < reserve*float64(b.writeLimiter.Burst())
}

// budgetError is the error of a request that was not sent because of its context's end.
func budgetError(err error) error { return fmt.Errorf("%w: budget: %w", ErrUnavailable, err) }
