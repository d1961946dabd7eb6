// Package client speaks with controllers for the command line: it tries them in turn,
// comes back when they say so, and gives up after a while.
package apiclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

// Client speaks with a deployment's controllers.
type Client struct {
	addresses  []string
	httpClient *http.Client
	current    int // the one that answered last
}

// New makes a client of controllers' listen addresses.
func New(addrs ...string) *Client {
	return &Client{addresses: addrs, httpClient: &http.Client{Timeout: tuning.CLIRequestTimeout}}
}

// StatusError is an answer other than success that asking again will not change.
type StatusError struct {
	Code int
	Body []byte
}

// Error tells what the controller said.
func (r *StatusError) Error() string {
	var said struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(r.Body, &said) == nil && said.Error != "" {
		return said.Error
	}
	return fmt.Sprintf("answered %d: %s", r.Code, bytes.TrimSpace(r.Body))
}

// Call asks until a controller answers for good or tuning.CommandGiveUp is over: a
// request must carry an id that makes repeating it harmless. out gets the body of an
// answer with a 2xx status; any other is a *Refused. code is the last status.
func (c *Client) Call(ctx context.Context, method, path string, body []byte, out any) (code int, err error) {
	if len(c.addresses) == 0 {
		return 0, errors.New("no controller to ask: give --addr or set CHERRYWALL_ADDR")
	}
	until := time.Now().Add(tuning.CLIRetryTimeout)
	var last error
	for round := 0; ; round++ {
		wait := tuning.MinRetryDelay
		for range c.addresses {
			addr := c.addresses[c.current%len(c.addresses)]
			code, raw, after, err := c.callOnce(ctx, addr, method, path, body)
			switch {
			case err != nil:
				last = fmt.Errorf("ask %s: %w", addr, err)
			case code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests || code == http.StatusGatewayTimeout:
				last = fmt.Errorf("%s: %w", addr, &StatusError{code, raw})
				wait = max(wait, after)
			case code/100 != 2:
				return code, &StatusError{code, raw}
			case out == nil:
				return code, nil
			default:
				if err := json.Unmarshal(raw, out); err != nil {
					return code, fmt.Errorf("answer of %s: %w", addr, err)
				}
				return code, nil
			}
			if ctx.Err() != nil {
				return 0, ctx.Err()
			}
			c.current++
		}
		wait = min(max(wait, time.Duration(round)*tuning.MinRetryDelay), tuning.MaxCLIRetryDelay)
		if time.Now().Add(wait).After(until) {
			return 0, fmt.Errorf("given up after %v: %w", tuning.CLIRetryTimeout, last)
		}
		if err := kvstore.Pause(ctx, wait); err != nil {
			return 0, err
		}
	}
}

func (c *Client) callOnce(ctx context.Context, addr, method, path string, body []byte) (code int, raw []byte, after time.Duration, err error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, 0, err
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return 0, nil, 0, err
	}
	defer resp.Body.Close()
	if raw, err = io.ReadAll(resp.Body); err != nil {
		return 0, nil, 0, err
	}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 {
		after = time.Duration(s * float64(time.Second))
	}
	return resp.StatusCode, raw, after, nil
}
