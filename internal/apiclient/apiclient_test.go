package apiclient

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/tuning"
)

// fakeTransport answers for controllers in memory, in turn for each address.
type fakeTransport struct {
	answers            map[string][]int
	requestedAddresses []string
	requestedAt        []time.Time
}

func (t *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	addr := r.URL.Host
	t.requestedAddresses, t.requestedAt = append(t.requestedAddresses, addr), append(t.requestedAt, time.Now())
	list := t.answers[addr]
	if len(list) == 0 {
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	}
	code := list[0]
	if len(list) > 1 {
		t.answers[addr] = list[1:]
	}
	resp := &http.Response{StatusCode: code, Header: http.Header{}, Body: http.NoBody}
	if code == 503 {
		resp.Header.Set("Retry-After", "2")
	}
	return resp, nil
}

func TestControllersAreTriedInTurnAndWhenTheySaySo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &fakeTransport{answers: map[string][]int{"b": {503, 200}, "c": {503}}}
		c := New("a", "b", "c")
		c.httpClient.Transport = transport
		start := time.Now()
		code, err := c.Call(context.Background(), "POST", "/x", nil, nil)
		if code != 200 || err != nil || time.Since(start) != 2*time.Second || len(transport.requestedAddresses) != 5 || transport.requestedAddresses[4] != "b" {
			t.Errorf("%d %v after %v, asked %v", code, err, time.Since(start), transport.requestedAddresses)
		}
		if _, err := c.Call(context.Background(), "GET", "/x", nil, nil); err != nil || transport.requestedAddresses[5] != "b" {
			t.Errorf("the one that answered is not asked first: %v %v", transport.requestedAddresses, err)
		}
		transport.answers["b"] = []int{422}
		var no *StatusError
		if _, err := c.Call(context.Background(), "POST", "/x", nil, nil); !errors.As(err, &no) || no.Code != 422 {
			t.Errorf("%v", err)
		}
		transport.answers = nil
		start = time.Now()
		if _, err := c.Call(context.Background(), "GET", "/x", nil, nil); err == nil || time.Since(start) > tuning.CLIRetryTimeout {
			t.Errorf("%v after %v", err, time.Since(start))
		}
	})
}
