// Package apiclient calls the HTTP API of controllers for the command line. It tries the controllers
// in turn, retries requests that may succeed later, and gives up after tuning.CLIRetryTimeout.
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

// ErrNoControllers means that a client has no controller addresses.
var ErrNoControllers = errors.New("no controller address: use --addr or set CHERRYWALL_ADDR")

// Client calls a deployment's controllers. It is not safe for concurrent use.
type Client struct {
	addresses    []string
	httpClient   *http.Client
	addressIndex int // index, modulo the number of addresses, of the address that gave the last final response; the next call begins with it
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
	return fmt.Sprintf("status %d: %s", e.Code, bytes.TrimSpace(e.Body))
}

// Call sends a request to the controllers in turn until one of them gives a final response or
// tuning.CLIRetryTimeout has passed. The request must be idempotent, since it may be repeated. Call
// decodes the body of a 2xx response into out, unless out is nil, and returns any other final response
// as a *StatusError. code is the status of the final response, or 0 if there was none.
func (c *Client) Call(ctx context.Context, method, path string, body []byte, out any) (code int, err error) {
	if len(c.addresses) == 0 {
		return 0, ErrNoControllers
	}
	deadline := time.Now().Add(tuning.CLIRetryTimeout)
	var lastErr error
	for attempt := 0; ; attempt++ { // each attempt calls all controllers once
		retryAfter := tuning.MinRetryDelay
		for range c.addresses {
			address := c.addresses[c.addressIndex%len(c.addresses)]
			response, err := c.callController(ctx, address, method, path, body)
			switch {
			case err != nil:
				lastErr = fmt.Errorf("call %s: %w", address, err)
			case response.isRetryable():
				lastErr = fmt.Errorf("%s: %w", address, response.statusError())
				retryAfter = max(retryAfter, response.retryAfter)
			default:
				return response.code, response.decode(address, out)
			}
			if ctx.Err() != nil {
				return 0, ctx.Err()
			}
			c.addressIndex++
		}
		delay := min(max(retryAfter, time.Duration(attempt)*tuning.MinRetryDelay), tuning.MaxCLIRetryDelay)
		if time.Now().Add(delay).After(deadline) {
			return 0, fmt.Errorf("gave up after %v: %w", tuning.CLIRetryTimeout, lastErr)
		}
		if err := kvstore.Sleep(ctx, delay); err != nil {
			return 0, err
		}
	}
}

// controllerResponse is a controller's response, read completely.
type controllerResponse struct {
	code       int
	body       []byte
	retryAfter time.Duration // 0 if the response has no valid Retry-After header
}

// isRetryable reports whether the request may succeed at another controller or at a later time.
func (r *controllerResponse) isRetryable() bool {
	switch r.code {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func (r *controllerResponse) statusError() *StatusError {
	return &StatusError{Code: r.code, Body: r.body}
}

// decode decodes the body of a 2xx response into out, unless out is nil. For any other status it
// returns a *StatusError.
func (r *controllerResponse) decode(address string, out any) error {
	if r.code/100 != 2 {
		return r.statusError()
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(r.body, out); err != nil {
		return fmt.Errorf("decode response of %s: %w", address, err)
	}
	return nil
}

// callController sends a request to one controller and reads the whole response.
func (c *Client) callController(ctx context.Context, address, method, path string, body []byte) (*controllerResponse, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	httpResponse, err := c.httpClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = httpResponse.Body.Close() }()
	content, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		return nil, err
	}
	result := &controllerResponse{code: httpResponse.StatusCode, body: content}
	if seconds, err := strconv.ParseFloat(httpResponse.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		result.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return result, nil
}
