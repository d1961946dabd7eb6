package cloud

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"cherrywall/internal/tuning"

	"golang.org/x/time/rate"
)

// The paths of the cloud's API.
const (
	machineTypesPath = "/flavors"
	machinesPath     = "/rentals"
	releasePath      = "/rentals/release"
)

const (
	maxIdleConnections = 4
	// listPageSize is the largest number of machines that the cloud returns in one page of its list.
	listPageSize = 500
)

// noCapacityReason is the value of the field "error" by which a response reports ErrNoCapacity.
const noCapacityReason = "no capacity"

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Client sends requests to the cloud's API. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
	limiter    *rate.Limiter
}

// New returns a client of the cloud at an address. requestsPerSecond is the rate limit that the cloud sets
// for all controllers together; the client uses the fraction tuning.CloudBudgetFraction of it. Connections
// are opened by dial.
func New(addr string, requestsPerSecond float64, dial DialFunc) *Client {
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     tuning.IdleConnectionTimeout,
		DisableCompression:  true,
	}
	limit := rate.Limit(requestsPerSecond * tuning.CloudBudgetFraction)
	return &Client{
		baseURL:    "http://" + addr,
		httpClient: &http.Client{Transport: transport},
		limiter:    rate.NewLimiter(limit, max(1, int(requestsPerSecond))),
	}
}

// MachineTypes reads the machine types that the cloud offers, with their current prices.
func (c *Client) MachineTypes(ctx context.Context) ([]MachineType, error) {
	var response struct {
		MachineTypes []MachineType `json:"builds"`
	}
	err := c.call(ctx, http.MethodGet, machineTypesPath, nil, &response)
	return response.MachineTypes, err
}

// ScaleOut requests machines and returns the hosts that will boot, which may be fewer than requested. The
// error is ErrNoCapacity if the cloud has no such machine now. After an error that wraps ErrUnavailable,
// machines may boot nevertheless.
func (c *Client) ScaleOut(ctx context.Context, request ScaleOutRequest) ([]string, error) {
	var response struct {
		Hosts []string `json:"hosts"`
	}
	err := c.call(ctx, http.MethodPost, machinesPath, request, &response)
	return response.Hosts, err
}

// Release returns machines to the cloud. If there is no error, the cloud has terminated the machines and
// everything that ran on them.
func (c *Client) Release(ctx context.Context, hosts []string) error {
	request := map[string][]string{"hosts": hosts}
	return c.call(ctx, http.MethodPost, releasePath, request, nil)
}

// List reads the whole list of machines, page by page. The list may be many seconds out of date.
func (c *Client) List(ctx context.Context) ([]Machine, error) {
	var machines []Machine
	query := url.Values{"limit": {strconv.Itoa(listPageSize)}}
	for {
		var page struct {
			Machines  []Machine `json:"hosts"`
			Truncated bool      `json:"truncated"`
		}
		if err := c.call(ctx, http.MethodGet, machinesPath+"?"+query.Encode(), nil, &page); err != nil {
			return nil, err
		}
		machines = append(machines, page.Machines...)
		if !page.Truncated || len(page.Machines) == 0 {
			return machines, nil
		}
		query.Set("from", page.Machines[len(page.Machines)-1].Host)
	}
}

// call waits until the rate limit allows a request, sends it, and decodes the response into result, unless
// result is nil. Waiting and the request together take at most tuning.CloudRequestTimeout.
func (c *Client) call(ctx context.Context, method, path string, request, result any) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.CloudRequestTimeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: rate limit: %w", ErrUnavailable, err)
	}
	var body io.Reader
	if request != nil {
		encoded, err := json.Marshal(request)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(encoded)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	response, err := c.httpClient.Do(httpRequest)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	return decodeResponse(response, result)
}

// decodeResponse decodes a response into result, unless result is nil. The error is ErrNoCapacity or wraps
// ErrUnavailable.
func decodeResponse(response *http.Response, result any) error {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if reportsNoCapacity(response.StatusCode, body) {
		return ErrNoCapacity
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", ErrUnavailable, response.StatusCode)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(body, result); err != nil {
		return fmt.Errorf("%w: incomplete response: %w", ErrUnavailable, err)
	}
	return nil
}

// reportsNoCapacity reports whether a response means that the cloud has no machines. A response during an
// outage has the same status, but another error in the body.
func reportsNoCapacity(status int, body []byte) bool {
	if status != http.StatusServiceUnavailable {
		return false
	}
	var failure struct {
		Reason string `json:"error"`
	}
	return json.Unmarshal(body, &failure) == nil && failure.Reason == noCapacityReason
}
