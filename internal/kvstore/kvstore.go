// Package state is the client of the state service: reads, transactions,
// grants and the watch, inside a budget of requests and writes.
package kvstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"cherrywall/internal/tuning"

	"golang.org/x/time/rate"
)

// ErrUnavailable means that the request was certainly not executed.
var ErrUnavailable = errors.New("state service unavailable")

// ErrOutcomeUnknown means that the request may have been executed, or may yet be.
var ErrOutcomeUnknown = errors.New("state service: outcome unknown")

// ErrRejected means that the request was not executed and will not be as it is: it is
// malformed or beyond a limit of the service. Asking again is of no use.
var ErrRejected = errors.New("state service refused")

// errRateLimited is an ErrUnavailable because of the service's limits.
var errRateLimited = fmt.Errorf("%w: over its limits", ErrUnavailable)

// ErrExpired means that a grant has ended or that a watch is too far behind.
var ErrExpired = errors.New("state service: gone")

// Condition asks that a key has a given stamp (0: it does not exist).
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"stamp"`
}

// Write is a put (Key) or a delete (Drop).
type Write struct {
	Key       string          `json:"write,omitempty"`
	Value     json.RawMessage `json:"value,omitempty"`
	LeaseID   uint64          `json:"permit,omitempty"`
	DeleteKey string          `json:"drop,omitempty"`
}

// Txn is one atomic, conditional change.
type Txn struct {
	Conditions []Condition `json:"if"`
	Writes     []Write     `json:"writes,omitempty"`
}

// Encode is a record as it is kept. Only records of this program are encoded, plain data
// that can be: anything else is a mistake and panics.
func Encode(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// KeyValue is a key with its value.
type KeyValue struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"stamp"`
	LeaseID  uint64          `json:"permit"`
}

// Event is one change seen by the watch.
type Event struct {
	Key        string          `json:"write"`
	Value      json.RawMessage `json:"value"`
	Revision   uint64          `json:"stamp"`
	DeletedKey string          `json:"drop"`
}

// TxnResult is the outcome of a transaction that was decided.
type TxnResult struct {
	Succeeded  bool
	Revision   uint64
	FailedKeys []string
}

// Priority orders callers when the budget is short.
type Priority int

// Renewals and cancellations go before claims, claims before bookkeeping.
const (
	Urgent Priority = iota
	Normal
	Background
)

// Service is the state service as those see it who read and follow records: the client, or
// what stands between.
type Service interface {
	Commit(ctx context.Context, p Priority, t Txn) (TxnResult, error)
	Get(ctx context.Context, p Priority, key string) (KeyValue, bool, uint64, error)
	List(ctx context.Context, prefix string) ([]KeyValue, uint64, error)
	Watch(ctx context.Context, prefix string, from uint64) ([]Event, uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	KeepAlive(ctx context.Context, permit uint64) error
}

// Client talks to the state service.
type Client struct {
	baseURL        string
	httpClient     *http.Client
	requestLimiter *rate.Limiter
	writeLimiter   *rate.Limiter

	// The limits are shared by all controllers, of which some need more than
	// others: each takes more than its even part until the service refuses.
	totalRequestRate, totalWriteRate float64
	mu                               sync.Mutex
	minFraction, fraction            float64
	fractionChangedAt                time.Time
	rateLimitedAt                    time.Time
	controllers                      int
	peerUsage                        map[string]usage // by the other controllers
	currentUsage, averageUsage       usage            // since usedAt; a second, smoothed
}

// usage is what is asked of the service; at is when it was told, or counted from.
type usage struct {
	requests, writes float64
	recordedAt       time.Time
}

// New makes a client with a part of the service's budget, which nodes
// controllers share.
func New(addr string, rps, writeRPS float64, nodes int, dial func(context.Context, string, string) (net.Conn, error)) *Client {
	least := tuning.EvenBudgetFraction / float64(max(nodes, 1))
	part := max(tuning.ControllerBudgetFraction, least)
	return &Client{
		totalRequestRate: rps, totalWriteRate: writeRPS, minFraction: least, fraction: part, fractionChangedAt: time.Now(), controllers: max(nodes, 1),
		peerUsage: map[string]usage{}, currentUsage: usage{recordedAt: time.Now()},
		baseURL: "http://" + addr,
		httpClient: &http.Client{Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: 16, IdleConnTimeout: tuning.IdleConnectionTimeout,
			DisableCompression: true,
		}},
		requestLimiter: rate.NewLimiter(rate.Limit(rps*part), max(1, int(rps*least))),
		writeLimiter:   rate.NewLimiter(rate.Limit(writeRPS*part), max(8, int(writeRPS*least))),
	}
}

// adaptFraction sets this controller's part: less after a refusal, slowly more else.
func (c *Client) adaptFraction(refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := max(tuning.ControllerBudgetFraction, c.minFraction)
	now := time.Now()
	if refused {
		c.fraction = max(c.minFraction, c.fraction*tuning.BudgetBackoffFactor)
	} else if now.Sub(c.fractionChangedAt) < tuning.BudgetRecoveryInterval {
		return
	} else {
		c.fraction = min(most, c.fraction/tuning.BudgetBackoffFactor)
	}
	c.fractionChangedAt = now
	if refused {
		c.rateLimitedAt = now
	}
	c.updateLimits(now) // also if the part is the same: the others may have fallen silent
}

// updateLimits sets the rates: what the others leave, if all of them have told lately what
// they use; else this controller's part as it was learned from refusals. After a
// refusal the lesser of both: others than controllers may use the service.
func (c *Client) updateLimits(now time.Time) {
	reqs, writes := c.totalRequestRate*c.fraction, c.totalWriteRate*c.fraction
	var peers usage
	reporting := 1
	for _, peer := range c.peerUsage {
		if now.Sub(peer.recordedAt) < tuning.PeerIdleTimeout {
			reporting++
			peers.requests += peer.requests
			peers.writes += peer.writes
		}
	}
	if reporting >= c.controllers && c.controllers > 1 {
		left := func(all, used float64) float64 {
			return min(max(tuning.ReportedBudgetFactor*all-used, tuning.ReportedBudgetFactor*c.minFraction*all), tuning.BusyControllerBudgetFraction*all)
		}
		r, w := left(c.totalRequestRate, peers.requests), left(c.totalWriteRate, peers.writes)
		if now.Sub(c.rateLimitedAt) < tuning.BudgetRecoveryInterval {
			r, w = min(r, reqs), min(w, writes)
		}
		reqs, writes = r, w
	}
	c.requestLimiter.SetLimit(rate.Limit(reqs))
	c.writeLimiter.SetLimit(rate.Limit(writes))
}

// RecordPeerUsage takes what another controller asks of the service, a second. It comes twice a
// second from each: sooner than a refusal, which is what else would tell.
func (c *Client) RecordPeerUsage(node string, reqs, writes float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.peerUsage[node] = usage{reqs, writes, now}
	c.updateLimits(now)
}

// Usage is what this controller asks of the service, a second, smoothed.
func (c *Client) Usage() (reqs, writes float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if dt := now.Sub(c.currentUsage.recordedAt).Seconds(); dt >= tuning.PeerHeartbeatInterval.Seconds()/2 {
		w := dt / (dt + tuning.BudgetUsageSmoothingPeriod.Seconds())
		c.averageUsage.requests += w * (c.currentUsage.requests/dt - c.averageUsage.requests)
		c.averageUsage.writes += w * (c.currentUsage.writes/dt - c.averageUsage.writes)
		c.currentUsage = usage{recordedAt: now}
	}
	return c.averageUsage.requests, c.averageUsage.writes
}

func (c *Client) recordRequest(writes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.currentUsage.requests++
	c.currentUsage.writes += float64(writes)
}

// awaitBudget spends budget. A background caller leaves half of the burst to the
// others, a normal one a fifth.
func (c *Client) awaitBudget(ctx context.Context, priority Priority, writes int) error {
	c.recordRequest(writes) // also what has to wait: it is wanted
	reserve := map[Priority]float64{Urgent: 0, Normal: 0.2, Background: 0.5}[priority]
	for c.requestLimiter.Tokens() < reserve*float64(c.requestLimiter.Burst()) ||
		(writes > 0 && c.writeLimiter.Tokens() < reserve*float64(c.writeLimiter.Burst())) {
		if err := Pause(ctx, tuning.BudgetPollInterval); err != nil {
			return fmt.Errorf("%w: budget: %w", ErrUnavailable, err)
		}
	}
	if err := c.requestLimiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: budget: %w", ErrUnavailable, err)
	}
	if writes > 0 {
		if err := c.writeLimiter.WaitN(ctx, min(writes, c.writeLimiter.Burst())); err != nil {
			return fmt.Errorf("%w: budget: %w", ErrUnavailable, err)
		}
	}
	return nil
}

// Pause waits for d or for the end of ctx.
func Pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// callWithRetry asks, and asks again shortly when the service refuses for its limits,
// which says that nothing was executed: giving up would cost the caller, or a
// user, far more than a moment.
func (c *Client) callWithRetry(ctx context.Context, method, path string, body any, out any) (int, error) {
	for attempt := 1; ; attempt++ {
		status, err := c.callOnce(ctx, method, path, body, out)
		busy := errors.Is(err, errRateLimited)
		c.adaptFraction(busy)
		if !busy || attempt == tuning.RateLimitedAttempts || Pause(ctx, time.Duration(attempt)*tuning.RateLimitedRetryDelay) != nil {
			return status, err
		}
	}
}

func (c *Client) callOnce(ctx context.Context, method, path string, body any, out any) (int, error) {
	var rd io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, fmt.Errorf("encode request: %w", err)
		}
		rd = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, rd)
	if err != nil {
		return 0, fmt.Errorf("make request: %w", err)
	}
	response, err := c.httpClient.Do(req)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusNotFound, http.StatusConflict:
		if out != nil && len(raw) > 0 {
			if err := json.Unmarshal(raw, out); err != nil {
				return response.StatusCode, fmt.Errorf("%w: torn answer: %w", ErrOutcomeUnknown, err)
			}
		}
		return response.StatusCode, nil
	case http.StatusGone:
		return response.StatusCode, ErrExpired
	case http.StatusTooManyRequests:
		return response.StatusCode, errRateLimited
	case http.StatusServiceUnavailable:
		return response.StatusCode, fmt.Errorf("%w: status %d", ErrUnavailable, response.StatusCode)
	case http.StatusBadRequest:
		return response.StatusCode, fmt.Errorf("%w: %s %s: %s", ErrRejected, method, path, raw)
	}
	return response.StatusCode, fmt.Errorf("%w: status %d", ErrOutcomeUnknown, response.StatusCode)
}

// Commit runs a transaction.
func (c *Client) Commit(ctx context.Context, priority Priority, txn Txn) (TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.StoreRequestTimeout)
	defer cancel()
	if err := c.awaitBudget(ctx, priority, len(txn.Writes)); err != nil {
		return TxnResult{}, err
	}
	if txn.Conditions == nil {
		txn.Conditions = []Condition{}
	}
	var out struct {
		Epoch  uint64   `json:"epoch"`
		Failed []string `json:"failed"`
	}
	status, err := c.callWithRetry(ctx, http.MethodPost, "/txn", txn, &out)
	if err != nil {
		return TxnResult{}, err
	}
	return TxnResult{Succeeded: status == http.StatusOK, Revision: out.Epoch, FailedKeys: out.Failed}, nil
}

// Get reads a key; found is false if it does not exist. The epoch is known
// only in that case.
func (c *Client) Get(ctx context.Context, priority Priority, key string) (row KeyValue, found bool, revision uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.StoreRequestTimeout)
	defer cancel()
	if err := c.awaitBudget(ctx, priority, 0); err != nil {
		return KeyValue{}, false, 0, err
	}
	var out struct {
		KeyValue
		Epoch uint64 `json:"epoch"`
	}
	status, err := c.callWithRetry(ctx, http.MethodGet, "/kv/"+key, nil, &out)
	if err != nil {
		return KeyValue{}, false, 0, err
	}
	return out.KeyValue, status == http.StatusOK, out.Epoch, nil
}

// List reads all rows with a prefix. The epoch is that of the first page.
func (c *Client) List(ctx context.Context, prefix string) ([]KeyValue, uint64, error) {
	var rows []KeyValue
	var revision uint64
	from := ""
	for {
		page, more, e, err := c.listPage(ctx, prefix, from)
		if err != nil {
			return nil, 0, err
		}
		if from == "" {
			revision = e
		}
		rows = append(rows, page...)
		if !more || len(page) == 0 {
			return rows, revision, nil
		}
		from = page[len(page)-1].Key
	}
}

func (c *Client) listPage(ctx context.Context, prefix, from string) ([]KeyValue, bool, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*tuning.StoreRequestTimeout)
	defer cancel()
	if err := c.awaitBudget(ctx, Normal, 0); err != nil {
		return nil, false, 0, err
	}
	q := url.Values{"starts": {prefix}, "limit": {strconv.Itoa(tuning.ListPageRows)}}
	if from != "" {
		q.Set("from", from)
	}
	var out struct {
		Rows      []KeyValue `json:"rows"`
		Truncated bool       `json:"truncated"`
		Epoch     uint64     `json:"epoch"`
	}
	status, err := c.callWithRetry(ctx, http.MethodGet, "/kv?"+q.Encode(), nil, &out)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%w: list status %d", ErrOutcomeUnknown, status)
	}
	return out.Rows, out.Truncated, out.Epoch, err
}

// Watch waits for changes after a revision.
func (c *Client) Watch(ctx context.Context, prefix string, from uint64) ([]Event, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.WatchRequestWait+tuning.WatchTimeoutMargin)
	defer cancel()
	if err := c.awaitBudget(ctx, Urgent, 0); err != nil {
		return nil, 0, err
	}
	q := url.Values{"starts": {prefix}, "from": {strconv.FormatUint(from, 10)},
		"waitMs": {strconv.FormatInt(tuning.WatchRequestWait.Milliseconds(), 10)}}
	var out struct {
		Epoch uint64  `json:"epoch"`
		News  []Event `json:"news"`
	}
	status, err := c.callWithRetry(ctx, http.MethodGet, "/changes?"+q.Encode(), nil, &out)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%w: watch status %d", ErrOutcomeUnknown, status)
	}
	return out.News, out.Epoch, err
}

// GrantLease obtains a lease to which keys can be attached.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.StoreRequestTimeout)
	defer cancel()
	if err := c.awaitBudget(ctx, Urgent, 0); err != nil {
		return 0, err
	}
	var out struct {
		Permit uint64 `json:"permit"`
	}
	status, err := c.callWithRetry(ctx, http.MethodPost, "/grants", map[string]int64{"ttlMs": ttl.Milliseconds()}, &out)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%w: grant status %d", ErrOutcomeUnknown, status)
	}
	return out.Permit, err
}

// KeepAlive renews a grant; ErrGone says that it has ended.
func (c *Client) KeepAlive(ctx context.Context, leaseID uint64) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.StoreRequestTimeout)
	defer cancel()
	if err := c.awaitBudget(ctx, Urgent, 0); err != nil {
		return err
	}
	status, err := c.callWithRetry(ctx, http.MethodPost, "/grants/"+strconv.FormatUint(leaseID, 10)+"/touch", nil, nil)
	if err == nil && status == http.StatusNotFound {
		return ErrExpired
	}
	return err
}
