// Package kvstore is the client of the consensus-backed key-value store ("state service"). It offers
// reads, compare-and-swap transactions, leases and watches, within a budget of requests and writes
// that all controllers share.
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
	"time"

	"cherrywall/internal/tuning"
)

// maxIdleConnections is the maximum number of idle connections to the service that are kept open.
const maxIdleConnections = 16

// DialFunc opens a connection to an address, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client is a client of the service over HTTP. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
	budget     *budget
}

// New returns a client for the service at an address. The rates are the service's limits of requests
// and writes per second, which the given number of controllers share.
func New(address string, requestRate, writeRate float64, controllerCount int, dial DialFunc) *Client {
	return &Client{
		baseURL: "http://" + address,
		httpClient: &http.Client{Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     tuning.IdleConnectionTimeout,
			DisableCompression:  true,
		}},
		budget: newBudget(requestRate, writeRate, controllerCount),
	}
}

// RecordPeerUsage records the requests and writes per second that another controller reports in its
// peer heartbeats. These reports arrive long before the service would respond that its limits are
// exceeded, which is the only other sign of the peers' usage.
func (c *Client) RecordPeerUsage(controller string, requests, writes float64) {
	c.budget.recordPeerUsage(controller, requests, writes)
}

// Usage returns the requests and writes per second of this controller, smoothed over time.
func (c *Client) Usage() (requests, writes float64) { return c.budget.usage() }

// Commit implements Service. Like all requests it first waits for the budget, and fails after a
// timeout.
func (c *Client) Commit(ctx context.Context, priority Priority, txn Txn) (TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.StoreRequestTimeout)
	defer cancel()
	if err := c.budget.waitForBudget(ctx, priority, len(txn.Writes)); err != nil {
		return TxnResult{}, err
	}
	if txn.Conditions == nil {
		txn.Conditions = []Condition{} // the service expects a list, not null
	}
	var response struct {
		Revision uint64   `json:"epoch"`
		Failed   []string `json:"failed"`
	}
	status, err := c.callWithRetry(ctx, http.MethodPost, "/txn", txn, &response)
	if err != nil {
		return TxnResult{}, err
	}
	return TxnResult{Succeeded: status == http.StatusOK, Revision: response.Revision, FailedKeys: response.Failed}, nil
}

// Get implements Service.
func (c *Client) Get(ctx context.Context, priority Priority, key string) (GetResult, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.StoreRequestTimeout)
	defer cancel()
	if err := c.budget.waitForBudget(ctx, priority, 0); err != nil {
		return GetResult{}, err
	}
	var response struct {
		KeyValue
		StoreRevision uint64 `json:"epoch"`
	}
	status, err := c.callWithRetry(ctx, http.MethodGet, "/kv/"+key, nil, &response)
	if err != nil {
		return GetResult{}, err
	}
	return GetResult{Row: response.KeyValue, Found: status == http.StatusOK, StoreRevision: response.StoreRevision}, nil
}

// List implements Service. It reads the keys page by page and returns the revision of the first
// page.
func (c *Client) List(ctx context.Context, prefix string) (rows []KeyValue, revision uint64, err error) {
	afterKey := ""
	for {
		page, err := c.listPage(ctx, prefix, afterKey)
		if err != nil {
			return nil, 0, err
		}
		if afterKey == "" {
			revision = page.Revision
		}
		rows = append(rows, page.Rows...)
		if !page.Truncated || len(page.Rows) == 0 {
			return rows, revision, nil
		}
		afterKey = page.Rows[len(page.Rows)-1].Key
	}
}

// pageResponse is the service's response to a request for one page of rows.
type pageResponse struct {
	Rows      []KeyValue `json:"rows"`
	Truncated bool       `json:"truncated"`
	Revision  uint64     `json:"epoch"`
}

// listPage reads the page that begins after the key afterKey, or the first page if afterKey is empty.
func (c *Client) listPage(ctx context.Context, prefix, afterKey string) (pageResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*tuning.StoreRequestTimeout)
	defer cancel()
	if err := c.budget.waitForBudget(ctx, Normal, 0); err != nil {
		return pageResponse{}, err
	}
	query := url.Values{"starts": {prefix}, "limit": {strconv.Itoa(tuning.ListPageRows)}}
	if afterKey != "" {
		query.Set("from", afterKey)
	}
	var page pageResponse
	status, err := c.callWithRetry(ctx, http.MethodGet, "/kv?"+query.Encode(), nil, &page)
	return page, requireOK("list", status, err)
}

// Watch implements Service.
func (c *Client) Watch(ctx context.Context, prefix string, afterRevision uint64) ([]Event, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.WatchRequestWait+tuning.WatchTimeoutMargin)
	defer cancel()
	if err := c.budget.waitForBudget(ctx, Urgent, 0); err != nil {
		return nil, 0, err
	}
	query := url.Values{
		"starts": {prefix},
		"from":   {strconv.FormatUint(afterRevision, 10)},
		"waitMs": {strconv.FormatInt(tuning.WatchRequestWait.Milliseconds(), 10)},
	}
	var response struct {
		Revision uint64  `json:"epoch"`
		Events   []Event `json:"news"`
	}
	status, err := c.callWithRetry(ctx, http.MethodGet, "/changes?"+query.Encode(), nil, &response)
	return response.Events, response.Revision, requireOK("watch", status, err)
}

// GrantLease implements Service.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.StoreRequestTimeout)
	defer cancel()
	if err := c.budget.waitForBudget(ctx, Urgent, 0); err != nil {
		return 0, err
	}
	request := map[string]int64{"ttlMs": ttl.Milliseconds()}
	var response struct {
		LeaseID uint64 `json:"permit"`
	}
	status, err := c.callWithRetry(ctx, http.MethodPost, "/grants", request, &response)
	return response.LeaseID, requireOK("grant", status, err)
}

// KeepAlive implements Service.
func (c *Client) KeepAlive(ctx context.Context, leaseID uint64) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.StoreRequestTimeout)
	defer cancel()
	if err := c.budget.waitForBudget(ctx, Urgent, 0); err != nil {
		return err
	}
	path := "/grants/" + strconv.FormatUint(leaseID, 10) + "/touch"
	status, err := c.callWithRetry(ctx, http.MethodPost, path, nil, nil)
	if err == nil && status == http.StatusNotFound {
		return ErrExpired
	}
	return err
}

// requireOK returns err if it is not nil. Otherwise it returns ErrOutcomeUnknown if the status is
// not 200. It is used for operations to which the service should respond with status 200 or an
// error status only.
func requireOK(operation string, status int, err error) error {
	if err == nil && status != http.StatusOK {
		return fmt.Errorf("%w: %s status %d", ErrOutcomeUnknown, operation, status)
	}
	return err
}

// callWithRetry sends a request, and retries it a few times after short delays if the service responds
// that its rate limits are exceeded: such a request was not executed, and a failure would cost the
// caller or a user far more than a short delay. The body is encoded as JSON, and the response is
// decoded into out.
func (c *Client) callWithRetry(ctx context.Context, method, path string, body any, out any) (status int, err error) {
	for attempt := 1; ; attempt++ {
		status, err := c.callOnce(ctx, method, path, body, out)
		rateLimited := errors.Is(err, errRateLimited)
		c.budget.adaptFraction(rateLimited)
		if !rateLimited || attempt == tuning.RateLimitedAttempts {
			return status, err
		}
		if Sleep(ctx, time.Duration(attempt)*tuning.RateLimitedRetryDelay) != nil {
			return status, err
		}
	}
}

// callOnce sends one request. A request that gets no complete response may have been executed, so
// the error is then ErrOutcomeUnknown, and the status is 0.
func (c *Client) callOnce(ctx context.Context, method, path string, body any, out any) (status int, err error) {
	request, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return 0, err
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	status = response.StatusCode
	if err := statusError(status); err != nil {
		if errors.Is(err, ErrRejected) {
			err = fmt.Errorf("%w: %s %s: %s", err, method, path, raw)
		}
		return status, err
	}
	if out != nil && len(raw) > 0 {
		if err := json.Unmarshal(raw, out); err != nil {
			return status, fmt.Errorf("%w: decode response: %w", ErrOutcomeUnknown, err)
		}
	}
	return status, nil
}

// newRequest returns a request whose body is encoded as JSON. The request has no body if body is nil.
func (c *Client) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode request: %w", err)
		}
		reader = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	return request, nil
}

// statusError maps a response status to one of the package's errors. It returns nil for statuses that
// are results: success, a key that does not exist, and conditions of a transaction that do not hold.
func statusError(status int) error {
	switch status {
	case http.StatusOK, http.StatusNotFound, http.StatusConflict:
		return nil
	case http.StatusGone:
		return ErrExpired
	case http.StatusTooManyRequests:
		return errRateLimited
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	case http.StatusBadRequest:
		return ErrRejected
	}
	return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
}
