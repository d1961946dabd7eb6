// Package apiclient calls the HTTP interface of controllers for the command line: it tries them
// in turn, retries when they ask for it, and gives up after a while.
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

// ErrNoControllers means that a client has no address to call.
var ErrNoControllers = errors.New("no controller to ask: give --addr or set CHERRYWALL_ADDR")

// Client calls a deployment's controllers. It must not be used by several goroutines at a time.
type Client struct {
	addresses  []string
	httpClient *http.Client
	current    int // index of the address to call first, modulo their number: the last that answered
}

// New returns a client for the given listen addresses (host:port) of controllers.
func New(addresses ...string) *Client {
	return &Client{addresses: addresses, httpClient: &http.Client{Timeout: tuning.CLIRequestTimeout}}
}

// StatusError is a response with a status other than 2xx.
type StatusError struct {
	Code int
	Body []byte
}

// Error returns the controller's error message, or the status and body if there is none.
func (e *StatusError) Error() string {
	var body struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(e.Body, &body) == nil && body.Error != "" {
		return body.Error
	}
	return fmt.Sprintf("answered %d: %s", e.Code, bytes.TrimSpace(e.Body))
}

// Call sends a request to the controllers in turn until one gives a final response or
// tuning.CLIRetryTimeout is over. The request must be idempotent, since it may be repeated. The
// body of a 2xx response is decoded into out unless that is nil; any other final response is
// returned as a *StatusError. code is the status of the final response, 0 if there was none.
func (c *Client) Call(ctx context.Context, method, path string, body []byte, out any) (code int, err error) {
	if len(c.addresses) == 0 {
		return 0, ErrNoControllers
	}
	deadline := time.Now().Add(tuning.CLIRetryTimeout)
	var lastErr error
	for attempt := 0; ; attempt++ { // each asks all controllers once
		retryAfter := tuning.MinRetryDelay
		for range c.addresses {
			address := c.addresses[c.current%len(c.addresses)]
			response, err := c.callOnce(ctx, address, method, path, body)
			switch {
			case err != nil:
				lastErr = fmt.Errorf("ask %s: %w", address, err)
			case response.isRetryable():
				lastErr = fmt.Errorf("%s: %w", address, response.statusError())
				retryAfter = max(retryAfter, response.retryAfter)
			default:
				return response.code, response.decode(address, out)
			}
			if ctx.Err() != nil {
				return 0, ctx.Err()
			}
			c.current++
		}
		delay := min(max(retryAfter, time.Duration(attempt)*tuning.MinRetryDelay), tuning.MaxCLIRetryDelay)
		if time.Now().Add(delay).After(deadline) {
			return 0, fmt.Errorf("given up after %v: %w", tuning.CLIRetryTimeout, lastErr)
		}
		if err := kvstore.Pause(ctx, delay); err != nil {
			return 0, err
		}
	}
}

// response is a complete response of a controller.
type response struct {
	code       int
	body       []byte
	retryAfter time.Duration // 0 if the controller did not say
}

// isRetryable reports whether another controller or a later request may succeed.
func (r *response) isRetryable() bool {
	switch r.code {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func (r *response) statusError() *StatusError { return &StatusError{Code: r.code, Body: r.body} }

// decode decodes the body of a 2xx response into out, unless that is nil.
func (r *response) decode(address string, out any) error {
	if r.code/100 != 2 {
		return r.statusError()
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(r.body, out); err != nil {
		return fmt.Errorf("answer of %s: %w", address, err)
	}
	return nil
}

// callOnce sends a request to one controller and reads the whole response.
func (c *Client) callOnce(ctx context.Context, address, method, path string, body []byte) (*response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	reply, err := c.httpClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = reply.Body.Close() }()
	content, err := io.ReadAll(reply.Body)
	if err != nil {
		return nil, err
	}
	result := &response{code: reply.StatusCode, body: content}
	if seconds, err := strconv.ParseFloat(reply.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		result.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return result, nil
}
