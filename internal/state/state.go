// Package state is the client of the state service: reads, transactions,
// grants and the watch, inside a budget of requests and writes.
package state

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

// ErrUnknown means that the request may have been executed, or may yet be.
var ErrUnknown = errors.New("state service: outcome unknown")

// ErrRefused means that the request was not executed and will not be as it is: it is
// malformed or beyond a limit of the service. Asking again is of no use.
var ErrRefused = errors.New("state service refused")

// errBusy is an ErrUnavailable because of the service's limits.
var errBusy = fmt.Errorf("%w: over its limits", ErrUnavailable)

// ErrGone means that a grant has ended or that a watch is too far behind.
var ErrGone = errors.New("state service: gone")

// Cond asks that a key has a given stamp (0: it does not exist).
type Cond struct {
	Key   string `json:"key"`
	Stamp uint64 `json:"stamp"`
}

// Write is a put (Key) or a delete (Drop).
type Write struct {
	Key    string          `json:"write,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Permit uint64          `json:"permit,omitempty"`
	Drop   string          `json:"drop,omitempty"`
}

// Txn is one atomic, conditional change.
type Txn struct {
	If     []Cond  `json:"if"`
	Writes []Write `json:"writes,omitempty"`
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

// Row is a key with its value.
type Row struct {
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value"`
	Stamp  uint64          `json:"stamp"`
	Permit uint64          `json:"permit"`
}

// Event is one change seen by the watch.
type Event struct {
	Key   string          `json:"write"`
	Value json.RawMessage `json:"value"`
	Stamp uint64          `json:"stamp"`
	Drop  string          `json:"drop"`
}

// Result is the outcome of a transaction that was decided.
type Result struct {
	OK     bool
	Epoch  uint64
	Failed []string
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
	Do(ctx context.Context, p Priority, t Txn) (Result, error)
	Get(ctx context.Context, p Priority, key string) (Row, bool, uint64, error)
	List(ctx context.Context, prefix string) ([]Row, uint64, error)
	Watch(ctx context.Context, prefix string, from uint64) ([]Event, uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	Touch(ctx context.Context, permit uint64) error
}

// Client talks to the state service.
type Client struct {
	base   string
	hc     *http.Client
	reqs   *rate.Limiter
	writes *rate.Limiter

	// The limits are shared by all controllers, of which some need more than
	// others: each takes more than its even part until the service refuses.
	rps, writeRPS float64
	mu            sync.Mutex
	least, part   float64
	changed       time.Time
	refusedAt     time.Time
	nodes         int
	told          map[string]use // by the other controllers
	used, usual   use            // since usedAt; a second, smoothed
}

// use is what is asked of the service; at is when it was told, or counted from.
type use struct {
	reqs, writes float64
	at           time.Time
}

// New makes a client with a part of the service's budget, which nodes
// controllers share.
func New(addr string, rps, writeRPS float64, nodes int, dial func(context.Context, string, string) (net.Conn, error)) *Client {
	least := tuning.EvenPart / float64(max(nodes, 1))
	part := max(tuning.NodeShareOfBudget, least)
	return &Client{
		rps: rps, writeRPS: writeRPS, least: least, part: part, changed: time.Now(), nodes: max(nodes, 1),
		told: map[string]use{}, used: use{at: time.Now()},
		base: "http://" + addr,
		hc: &http.Client{Transport: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: 16, IdleConnTimeout: tuning.ConnIdle,
			DisableCompression: true,
		}},
		reqs:   rate.NewLimiter(rate.Limit(rps*part), max(1, int(rps*least))),
		writes: rate.NewLimiter(rate.Limit(writeRPS*part), max(8, int(writeRPS*least))),
	}
}

// adapt sets this controller's part: less after a refusal, slowly more else.
func (c *Client) adapt(refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := max(tuning.NodeShareOfBudget, c.least)
	now := time.Now()
	if refused {
		c.part = max(c.least, c.part*tuning.BudgetBackOff)
	} else if now.Sub(c.changed) < tuning.BudgetRegain {
		return
	} else {
		c.part = min(most, c.part/tuning.BudgetBackOff)
	}
	c.changed = now
	if refused {
		c.refusedAt = now
	}
	c.limit(now) // also if the part is the same: the others may have fallen silent
}

// limit sets the rates: what the others leave, if all of them have told lately what
// they use; else this controller's part as it was learned from refusals. After a
// refusal the lesser of both: others than controllers may use the service.
func (c *Client) limit(now time.Time) {
	reqs, writes := c.rps*c.part, c.writeRPS*c.part
	var others use
	n := 1
	for _, u := range c.told {
		if now.Sub(u.at) < tuning.PeerIdle {
			n++
			others.reqs += u.reqs
			others.writes += u.writes
		}
	}
	if n >= c.nodes && c.nodes > 1 {
		left := func(all, used float64) float64 {
			return min(max(tuning.ToldPart*all-used, tuning.ToldPart*c.least*all), tuning.AloneOfBudget*all)
		}
		r, w := left(c.rps, others.reqs), left(c.writeRPS, others.writes)
		if now.Sub(c.refusedAt) < tuning.BudgetRegain {
			r, w = min(r, reqs), min(w, writes)
		}
		reqs, writes = r, w
	}
	c.reqs.SetLimit(rate.Limit(reqs))
	c.writes.SetLimit(rate.Limit(writes))
}

// Told takes what another controller asks of the service, a second. It comes twice a
// second from each: sooner than a refusal, which is what else would tell.
func (c *Client) Told(node string, reqs, writes float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.told[node] = use{reqs, writes, now}
	c.limit(now)
}

// Use is what this controller asks of the service, a second, smoothed.
func (c *Client) Use() (reqs, writes float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if dt := now.Sub(c.used.at).Seconds(); dt >= tuning.BeatEvery.Seconds()/2 {
		w := dt / (dt + tuning.UseMean.Seconds())
		c.usual.reqs += w * (c.used.reqs/dt - c.usual.reqs)
		c.usual.writes += w * (c.used.writes/dt - c.usual.writes)
		c.used = use{at: now}
	}
	return c.usual.reqs, c.usual.writes
}

func (c *Client) count(writes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used.reqs++
	c.used.writes += float64(writes)
}

// admit spends budget. A background caller leaves half of the burst to the
// others, a normal one a fifth.
func (c *Client) admit(ctx context.Context, p Priority, writes int) error {
	c.count(writes) // also what has to wait: it is wanted
	reserve := map[Priority]float64{Urgent: 0, Normal: 0.2, Background: 0.5}[p]
	for c.reqs.Tokens() < reserve*float64(c.reqs.Burst()) ||
		(writes > 0 && c.writes.Tokens() < reserve*float64(c.writes.Burst())) {
		if err := Pause(ctx, tuning.BudgetPoll); err != nil {
			return fmt.Errorf("%w: budget: %w", ErrUnavailable, err)
		}
	}
	if err := c.reqs.Wait(ctx); err != nil {
		return fmt.Errorf("%w: budget: %w", ErrUnavailable, err)
	}
	if writes > 0 {
		if err := c.writes.WaitN(ctx, min(writes, c.writes.Burst())); err != nil {
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

// call asks, and asks again shortly when the service refuses for its limits,
// which says that nothing was executed: giving up would cost the caller, or a
// user, far more than a moment.
func (c *Client) call(ctx context.Context, method, path string, body any, out any) (int, error) {
	for tries := 1; ; tries++ {
		status, err := c.once(ctx, method, path, body, out)
		busy := errors.Is(err, errBusy)
		c.adapt(busy)
		if !busy || tries == tuning.BusyTries || Pause(ctx, time.Duration(tries)*tuning.BusyPause) != nil {
			return status, err
		}
	}
}

func (c *Client) once(ctx context.Context, method, path string, body any, out any) (int, error) {
	var rd io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, fmt.Errorf("encode request: %w", err)
		}
		rd = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, rd)
	if err != nil {
		return 0, fmt.Errorf("make request: %w", err)
	}
	resp, err := c.hc.Do(req)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNotFound, http.StatusConflict:
		if out != nil && len(raw) > 0 {
			if err := json.Unmarshal(raw, out); err != nil {
				return resp.StatusCode, fmt.Errorf("%w: torn answer: %w", ErrUnknown, err)
			}
		}
		return resp.StatusCode, nil
	case http.StatusGone:
		return resp.StatusCode, ErrGone
	case http.StatusTooManyRequests:
		return resp.StatusCode, errBusy
	case http.StatusServiceUnavailable:
		return resp.StatusCode, fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	case http.StatusBadRequest:
		return resp.StatusCode, fmt.Errorf("%w: %s %s: %s", ErrRefused, method, path, raw)
	}
	return resp.StatusCode, fmt.Errorf("%w: status %d", ErrUnknown, resp.StatusCode)
}

// Do runs a transaction.
func (c *Client) Do(ctx context.Context, p Priority, t Txn) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.StateTimeout)
	defer cancel()
	if err := c.admit(ctx, p, len(t.Writes)); err != nil {
		return Result{}, err
	}
	if t.If == nil {
		t.If = []Cond{}
	}
	var out struct {
		Epoch  uint64   `json:"epoch"`
		Failed []string `json:"failed"`
	}
	status, err := c.call(ctx, http.MethodPost, "/txn", t, &out)
	if err != nil {
		return Result{}, err
	}
	return Result{OK: status == http.StatusOK, Epoch: out.Epoch, Failed: out.Failed}, nil
}

// Get reads a key; found is false if it does not exist. The epoch is known
// only in that case.
func (c *Client) Get(ctx context.Context, p Priority, key string) (row Row, found bool, epoch uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.StateTimeout)
	defer cancel()
	if err := c.admit(ctx, p, 0); err != nil {
		return Row{}, false, 0, err
	}
	var out struct {
		Row
		Epoch uint64 `json:"epoch"`
	}
	status, err := c.call(ctx, http.MethodGet, "/kv/"+key, nil, &out)
	if err != nil {
		return Row{}, false, 0, err
	}
	return out.Row, status == http.StatusOK, out.Epoch, nil
}

// List reads all rows with a prefix. The epoch is that of the first page.
func (c *Client) List(ctx context.Context, prefix string) ([]Row, uint64, error) {
	var rows []Row
	var epoch uint64
	from := ""
	for {
		page, more, e, err := c.page(ctx, prefix, from)
		if err != nil {
			return nil, 0, err
		}
		if from == "" {
			epoch = e
		}
		rows = append(rows, page...)
		if !more || len(page) == 0 {
			return rows, epoch, nil
		}
		from = page[len(page)-1].Key
	}
}

func (c *Client) page(ctx context.Context, prefix, from string) ([]Row, bool, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*tuning.StateTimeout)
	defer cancel()
	if err := c.admit(ctx, Normal, 0); err != nil {
		return nil, false, 0, err
	}
	q := url.Values{"starts": {prefix}, "limit": {strconv.Itoa(tuning.ListPage)}}
	if from != "" {
		q.Set("from", from)
	}
	var out struct {
		Rows      []Row  `json:"rows"`
		Truncated bool   `json:"truncated"`
		Epoch     uint64 `json:"epoch"`
	}
	status, err := c.call(ctx, http.MethodGet, "/kv?"+q.Encode(), nil, &out)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%w: list status %d", ErrUnknown, status)
	}
	return out.Rows, out.Truncated, out.Epoch, err
}

// Watch waits for changes after a revision.
func (c *Client) Watch(ctx context.Context, prefix string, from uint64) ([]Event, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.WatchWait+tuning.WatchSlack)
	defer cancel()
	if err := c.admit(ctx, Urgent, 0); err != nil {
		return nil, 0, err
	}
	q := url.Values{"starts": {prefix}, "from": {strconv.FormatUint(from, 10)},
		"waitMs": {strconv.FormatInt(tuning.WatchWait.Milliseconds(), 10)}}
	var out struct {
		Epoch uint64  `json:"epoch"`
		News  []Event `json:"news"`
	}
	status, err := c.call(ctx, http.MethodGet, "/changes?"+q.Encode(), nil, &out)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%w: watch status %d", ErrUnknown, status)
	}
	return out.News, out.Epoch, err
}

// Grant obtains a lease to which keys can be attached.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.StateTimeout)
	defer cancel()
	if err := c.admit(ctx, Urgent, 0); err != nil {
		return 0, err
	}
	var out struct {
		Permit uint64 `json:"permit"`
	}
	status, err := c.call(ctx, http.MethodPost, "/grants", map[string]int64{"ttlMs": ttl.Milliseconds()}, &out)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%w: grant status %d", ErrUnknown, status)
	}
	return out.Permit, err
}

// Touch renews a grant; ErrGone says that it has ended.
func (c *Client) Touch(ctx context.Context, permit uint64) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.StateTimeout)
	defer cancel()
	if err := c.admit(ctx, Urgent, 0); err != nil {
		return err
	}
	status, err := c.call(ctx, http.MethodPost, "/grants/"+strconv.FormatUint(permit, 10)+"/touch", nil, nil)
	if err == nil && status == http.StatusNotFound {
		return ErrGone
	}
	return err
}
