// Package cloud is the client of the cloud that rents machines.
package cloud

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

	"cherrywall/internal/capacity"
	"cherrywall/internal/tuning"

	"golang.org/x/time/rate"
)

// ErrNoCapacity means that nothing of the asked kind can be rented now.
var ErrNoCapacity = errors.New("no capacity")

// ErrUnavailable means that the cloud did not answer or could not serve.
var ErrUnavailable = errors.New("cloud trouble")

// MachineType is a machine type.
type MachineType struct {
	Name            string   `json:"sku"`
	CPU             float64  `json:"vcpus"`
	GPU             float64  `json:"cards"`
	MemGB           float64  `json:"ramGb"`
	CacheGB         float64  `json:"cacheGb"`
	FetchGBPerS     float64  `json:"fetchGbPerS"`
	HourlyPrice     float64  `json:"hourly"`
	SpotHourlyPrice float64  `json:"marketPrice"`
	StartupS        float64  `json:"startupS"`
	Zones           []string `json:"valleys"`
}

// Total is what a machine of the type offers.
func (f MachineType) Total() capacity.Resources {
	return capacity.Resources{CPU: f.CPU, GPU: f.GPU, MemGB: f.MemGB}
}

// Machine is a row of the machine list.
type Machine struct {
	Host        string  `json:"ref"`
	Addr        string  `json:"addr"`
	MachineType string  `json:"build"`
	Zone        string  `json:"valley"`
	Spot        bool    `json:"loaners"`
	Status      string  `json:"status"`
	AgeS        float64 `json:"ageS"`
}

// ScaleOutRequest asks for machines. Its name must never be used twice.
type ScaleOutRequest struct {
	IdempotencyKey string `json:"booking"`
	MachineType    string `json:"build"`
	Zone           string `json:"valley"`
	Spot           bool   `json:"loaners"`
	Count          int    `json:"howMany"`
}

// Client talks to the cloud.
type Client struct {
	baseURL    string
	httpClient *http.Client
	limiter    *rate.Limiter
}

// New makes a client that keeps to a part of the cloud's limit.
func New(addr string, rps float64, dial func(context.Context, string, string) (net.Conn, error)) *Client {
	return &Client{
		baseURL: "http://" + addr,
		httpClient: &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4,
			IdleConnTimeout: tuning.IdleConnectionTimeout, DisableCompression: true}},
		limiter: rate.NewLimiter(rate.Limit(rps*tuning.CloudBudgetFraction), max(1, int(rps))),
	}
}

func (c *Client) call(ctx context.Context, method, path string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.CloudRequestTimeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: budget: %w", ErrUnavailable, err)
	}
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		reader = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		var why struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(raw, &why) == nil && why.Error == "no capacity" {
			return ErrNoCapacity
		}
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fmt.Errorf("%w: torn answer: %w", ErrUnavailable, err)
	}
	return nil
}

// MachineTypes reads the machine types with their current prices.
func (c *Client) MachineTypes(ctx context.Context) ([]MachineType, error) {
	var out struct {
		Builds []MachineType `json:"builds"`
	}
	err := c.call(ctx, http.MethodGet, "/flavors", nil, &out)
	return out.Builds, err
}

// ScaleOut asks for machines and returns those that were rented.
func (c *Client) ScaleOut(ctx context.Context, request ScaleOutRequest) ([]string, error) {
	var out struct {
		Hosts []string `json:"hosts"`
	}
	err := c.call(ctx, http.MethodPost, "/rentals", request, &out)
	return out.Hosts, err
}

// Release returns machines; without an error they are gone.
func (c *Client) Release(ctx context.Context, hosts []string) error {
	return c.call(ctx, http.MethodPost, "/rentals/release", map[string][]string{"hosts": hosts}, nil)
}

// List reads the whole machine list, which may be many seconds old.
func (c *Client) List(ctx context.Context) ([]Machine, error) {
	var all []Machine
	from := ""
	for {
		query := url.Values{"limit": {"500"}}
		if from != "" {
			query.Set("from", from)
		}
		var out struct {
			Hosts     []Machine `json:"hosts"`
			Truncated bool      `json:"truncated"`
		}
		if err := c.call(ctx, http.MethodGet, "/rentals?"+query.Encode(), nil, &out); err != nil {
			return nil, err
		}
		all = append(all, out.Hosts...)
		if !out.Truncated || len(out.Hosts) == 0 {
			return all, nil
		}
		from = out.Hosts[len(out.Hosts)-1].Host
	}
}
