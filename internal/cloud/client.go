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

// The paths of the cloud's interface.
const (
	machineTypesPath = "/flavors"
	machinesPath     = "/rentals"
	releasePath      = "/rentals/release"
)

const (
	maxIdleConnections = 4
	// listPageSize is the most that the cloud returns of its list at once (machines).
	listPageSize = 500
)

// noCapacityReason is the error in a response that means ErrNoCapacity.
const noCapacityReason = "no capacity"

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Client sends requests to the cloud. It may be used by several goroutines.
type Client struct {
	baseURL    string
	httpClient *http.Client
	limiter    *rate.Limiter
}

// New returns a client of the cloud at an address. It keeps to its fraction, tuning.CloudBudgetFraction, of
// the limit that the cloud sets for all controllers, in requests per second. Connections are opened by dial.
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

// MachineTypes reads the machine types on offer, with their current prices.
func (c *Client) MachineTypes(ctx context.Context) ([]MachineType, error) {
	var response struct {
		MachineTypes []MachineType `json:"builds"`
	}
	err := c.call(ctx, http.MethodGet, machineTypesPath, nil, &response)
	return response.MachineTypes, err
}

// ScaleOut requests machines and returns the hosts that will boot, which may be fewer than requested. The
// error is ErrNoCapacity if there are none; after ErrUnavailable they may boot all the same.
func (c *Client) ScaleOut(ctx context.Context, request ScaleOutRequest) ([]string, error) {
	var response struct {
		Hosts []string `json:"hosts"`
	}
	err := c.call(ctx, http.MethodPost, machinesPath, request, &response)
	return response.Hosts, err
}

// Release gives machines back. If there is no error, the cloud has terminated them and all that ran on them.
func (c *Client) Release(ctx context.Context, hosts []string) error {
	request := map[string][]string{"hosts": hosts}
	return c.call(ctx, http.MethodPost, releasePath, request, nil)
}

// List reads the whole list of machines, page by page. The list may be many seconds old.
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

// call makes one request when the rate limit allows it, and decodes the response into result, unless that is
// nil.
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

// decodeResponse reads a response into result, unless that is nil. The error of a response that reports a
// failure is ErrNoCapacity or wraps ErrUnavailable.
func decodeResponse(response *http.Response, result any) error {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if isNoCapacity(response.StatusCode, body) {
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

// isNoCapacity distinguishes a lack of machines from an outage, which has the same status.
func isNoCapacity(status int, body []byte) bool {
	if status != http.StatusServiceUnavailable {
		return false
	}
	var failure struct {
		Reason string `json:"error"`
	}
	return json.Unmarshal(body, &failure) == nil && failure.Reason == noCapacityReason
}
