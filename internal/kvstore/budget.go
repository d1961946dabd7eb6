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
	// minRequestBurst and minWriteBurst are lower bounds of the limiters' bursts, in requests and in
	// writes. They let a transaction of several writes pass even if the budget is small.
	minRequestBurst = 1
	minWriteBurst   = 8
)

// budget limits the requests and writes of this controller. All controllers share the limits of the
// service, and some need more than others. Therefore each controller may use more than an equal
// fraction of them until the service responds that its limits are exceeded. budget is safe for
// concurrent use.
type budget struct {
	requestLimiter *rate.Limiter
	writeLimiter   *rate.Limiter

	// The service's limits, and the number of controllers that share them.
	totalRequestRate, totalWriteRate float64 // per second
	controllerCount                  int
	minFraction                      float64 // lower bound of fraction

	mu                sync.Mutex
	fraction          float64 // fraction of the total rates that this controller may use; adaptFraction changes it
	fractionChangedAt time.Time
	rateLimitedAt     time.Time
	peerUsage         map[string]usage // rates per second that the peers have reported, by controller
	currentUsage      usage            // counts since currentUsage.recordedAt
	averageUsage      usage            // rates per second, exponentially smoothed
}

// usage is a number or a rate of requests and writes.
type usage struct {
	requests, writes float64
	recordedAt       time.Time // when a peer reported the rates, or when counting began
}

// newBudget returns the budget of one of several controllers that share the service's limits, which
// are rates per second.
func newBudget(totalRequestRate, totalWriteRate float64, controllerCount int) *budget {
	controllerCount = max(controllerCount, 1)
	minFraction := tuning.EvenBudgetFraction / float64(controllerCount)
	fraction := max(tuning.ControllerBudgetFraction, minFraction)
	return &budget{
		requestLimiter: rate.NewLimiter(rate.Limit(totalRequestRate*fraction),
			max(minRequestBurst, int(totalRequestRate*minFraction))),
		writeLimiter: rate.NewLimiter(rate.Limit(totalWriteRate*fraction),
			max(minWriteBurst, int(totalWriteRate*minFraction))),
		totalRequestRate:  totalRequestRate,
		totalWriteRate:    totalWriteRate,
		controllerCount:   controllerCount,
		minFraction:       minFraction,
		fraction:          fraction,
		fractionChangedAt: time.Now(),
		peerUsage:         map[string]usage{},
		currentUsage:      usage{recordedAt: time.Now()},
	}
}

// adaptFraction changes this controller's fraction of the service's limits after a request: it
// reduces the fraction if the request was rate limited, and raises it slowly otherwise.
func (b *budget) adaptFraction(rateLimited bool) {
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
	b.updateLimits(now) // also if the fraction is unchanged, since the peers' reports may have expired
}

// updateLimits sets the rates of the limiters. If all peers have reported their usage recently, the
// rates are the part of the service's limits that the peers do not use, as computed by
// remainingRate. Otherwise, the rates are the service's limits times b.fraction, which is reduced
// when the service rate limits this controller. Shortly after the controller was rate limited, the
// lower of these two rates is used, since clients other than controllers may use the service as
// well. The caller must hold b.mu.
func (b *budget) updateLimits(now time.Time) {
	requestRate, writeRate := b.totalRequestRate*b.fraction, b.totalWriteRate*b.fraction
	if peers, allReported := b.totalPeerUsage(now); allReported {
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

// totalPeerUsage returns the sum of the rates that the peers have reported within
// tuning.PeerIdleTimeout; allReported is false if there are no peers, or if one of them has not
// reported within that time.
func (b *budget) totalPeerUsage(now time.Time) (total usage, allReported bool) {
	reportingControllers := 1 // this controller
	for _, peer := range b.peerUsage {
		if now.Sub(peer.recordedAt) < tuning.PeerIdleTimeout {
			reportingControllers++
			total.requests += peer.requests
			total.writes += peer.writes
		}
	}
	return total, reportingControllers >= b.controllerCount && b.controllerCount > 1
}

// remainingRate returns how much of one of the service's limits this controller may use.
// usedByPeers is how much of the limit the peers use; all rates are per second. The result is at
// least tuning.BudgetOvercommitFactor times the controller's minimum fraction of the limit, and at
// most tuning.BusyControllerBudgetFraction of the limit.
func (b *budget) remainingRate(limit, usedByPeers float64) float64 {
	usableRate := tuning.BudgetOvercommitFactor * limit
	return min(max(usableRate-usedByPeers, tuning.BudgetOvercommitFactor*b.minFraction*limit), tuning.BusyControllerBudgetFraction*limit)
}

// recordPeerUsage records the requests and writes per second that another controller reports, and
// updates the limits.
func (b *budget) recordPeerUsage(controller string, requests, writes float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.peerUsage[controller] = usage{requests: requests, writes: writes, recordedAt: now}
	b.updateLimits(now)
}

// usage returns the requests and writes per second of this controller, smoothed over time.
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

// waitForBudget waits until the budget allows a request with the given number of writes, and deducts
// the request from the budget. Callers of lower priority leave a part of the burst to more urgent
// ones. waitForBudget fails only if ctx ends, or would end, before the budget allows the request. The error is
// ErrUnavailable, since the request was not sent.
func (b *budget) waitForBudget(ctx context.Context, priority Priority, writes int) error {
	b.recordRequest(writes) // before waiting, so that the usage reported to the peers includes requests that wait
	for b.isBurstReserved(priority, writes) {
		if err := Sleep(ctx, tuning.BudgetPollInterval); err != nil {
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

// isBurstReserved reports whether what is left of a limiter's burst is reserved for callers of a
// higher priority than the given one.
func (b *budget) isBurstReserved(priority Priority, writes int) bool {
	reservedFraction := priority.reservedBurstFraction()
	if b.requestLimiter.Tokens() < reservedFraction*float64(b.requestLimiter.Burst()) {
		return true
	}
	return writes > 0 && b.writeLimiter.Tokens() < reservedFraction*float64(b.writeLimiter.Burst())
}

// budgetError returns the error of a request that was not sent because its context ended.
func budgetError(err error) error {
	return fmt.Errorf("%w: wait for request budget: %w", ErrUnavailable, err)
}
