package apiclient

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/tuning"
)

// fakeTransport simulates controllers in memory. It responds to requests to an address with the
// statuses listed for that address in turn, and repeats the last one. Other addresses refuse
// connections.
type fakeTransport struct {
	statuses           map[string][]int // by address
	requestedAddresses []string
}

func (t *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	address := r.URL.Host
	t.requestedAddresses = append(t.requestedAddresses, address)
	statuses := t.statuses[address]
	if len(statuses) == 0 {
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	}
	status := statuses[0]
	if len(statuses) > 1 {
		t.statuses[address] = statuses[1:]
	}
	response := &http.Response{StatusCode: status, Header: http.Header{}, Body: http.NoBody}
	if status == http.StatusServiceUnavailable {
		response.Header.Set("Retry-After", "2")
	}
	return response, nil
}

func TestCallTriesControllersInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &fakeTransport{statuses: map[string][]int{"b": {503, 200}, "c": {503}}}
		client := New("a", "b", "c")
		client.httpClient.Transport = transport
		start := time.Now()
		code, err := client.Call(t.Context(), "POST", "/x", nil, nil)
		if code != 200 || err != nil || time.Since(start) != 2*time.Second || len(transport.requestedAddresses) != 5 || transport.requestedAddresses[4] != "b" {
			t.Errorf("status %d, error %v after %v, requests to %v", code, err, time.Since(start), transport.requestedAddresses)
		}
		if _, err := client.Call(t.Context(), "GET", "/x", nil, nil); err != nil || transport.requestedAddresses[5] != "b" {
			t.Errorf("the controller that responded last is not called first: %v, error %v", transport.requestedAddresses, err)
		}
		transport.statuses["b"] = []int{422}
		var statusError *StatusError
		if _, err := client.Call(t.Context(), "POST", "/x", nil, nil); !errors.As(err, &statusError) || statusError.Code != 422 {
			t.Errorf("error %v, want a StatusError of 422", err)
		}
		transport.statuses = nil
		start = time.Now()
		if _, err := client.Call(t.Context(), "GET", "/x", nil, nil); err == nil || time.Since(start) > tuning.CLIRetryTimeout {
			t.Errorf("error %v after %v", err, time.Since(start))
		}
	})
}
