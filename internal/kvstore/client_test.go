package kvstore

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/tuning"
)

// memoryListener is an in-memory listener that accepts the connections opened by dial.
type memoryListener chan net.Conn

func (n memoryListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	n <- server
	return client, nil
}

func (n memoryListener) Accept() (net.Conn, error) {
	if conn, ok := <-n; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (n memoryListener) Close() error   { return nil }
func (n memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// A rate limited request was not executed, so it can be retried. Without retries, a third of the
// submissions were late at high load.
func TestRateLimitedRequestIsRetriedAndReducesBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := make(memoryListener, 1)
		requests := 0
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if requests++; requests < 3 {
				w.WriteHeader(http.StatusTooManyRequests)
				return
			}
			_, _ = w.Write([]byte(`{"epoch":9}`))
		})}
		go func() { _ = server.Serve(network) }()
		client := New("state:1", 150, 50, 3, network.dial)
		readRequestLimit := client.budget.requestLimiter.Limit
		limitBefore := readRequestLimit()
		result, err := client.Commit(t.Context(), Urgent, Txn{Writes: []Write{{DeleteKey: "cw/x"}}})
		if err != nil || !result.Succeeded || result.Revision != 9 || requests != 3 {
			t.Errorf("%+v after %d requests: %v", result, requests, err)
		}
		if readRequestLimit() >= limitBefore || float64(readRequestLimit()) < 150/3*0.9 {
			t.Errorf("limit %v, before %v", readRequestLimit(), limitBefore)
		}
		close(network)
		client.httpClient.CloseIdleConnections()
		_ = server.Close() // closes the connections, too
	})
}

// Without reports of the peers' usage, a controller would reduce its rates only after the service
// has rate limited its requests, which happened hundreds of times a day.
func TestBudgetLeavesReportedUsageToPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := New("state:1", 300, 100, 3, nil)
		readLimits := func() (requests, writes float64) {
			return float64(client.budget.requestLimiter.Limit()), float64(client.budget.writeLimiter.Limit())
		}
		limitWithoutPeers, _ := readLimits()
		client.RecordPeerUsage("n1", 10, 2)
		if requests, _ := readLimits(); requests != limitWithoutPeers {
			t.Errorf("%v requests/s after a report of one of two peers, %v before", requests, limitWithoutPeers)
		}
		client.RecordPeerUsage("n2", 20, 3)
		if requests, writes := readLimits(); requests != 180 || writes != 60 {
			t.Errorf("%v requests/s and %v writes/s while the peers use little", requests, writes)
		}
		client.RecordPeerUsage("n1", 200, 60)
		client.RecordPeerUsage("n2", 20, 15)
		if requests, writes := readLimits(); requests != 155 || writes != 50 {
			t.Errorf("%v requests/s and %v writes/s while the peers use 220 and 75", requests, writes)
		}
		client.RecordPeerUsage("n2", 400, 400)
		if requests, writes := readLimits(); requests < 118 || requests > 119 || writes < 39 || writes > 40 {
			t.Errorf("%v requests/s and %v writes/s: less than an equal fraction, or much more", requests, writes)
		}
		time.Sleep(time.Second)
		for range 30 {
			client.budget.recordRequest(2)
		}
		if requests, writes := client.Usage(); requests < 15 || requests > 30 || writes != 2*requests {
			t.Errorf("30 requests with two writes each within a second reported as %v and %v", requests, writes)
		}
		time.Sleep(tuning.PeerIdleTimeout) // all reports are outdated
		client.budget.mu.Lock()
		client.budget.updateLimits(time.Now())
		client.budget.mu.Unlock()
		if requests, _ := readLimits(); requests != limitWithoutPeers {
			t.Errorf("%v requests/s after the reports are outdated, %v before the first report", requests, limitWithoutPeers)
		}
	})
}

// newTestClient returns a client of an in-memory service, which runs until the test ends.
func newTestClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	network := make(memoryListener, 1)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(network) }()
	client := New("state:1", 1000, 1000, 1, network.dial)
	t.Cleanup(func() {
		close(network)
		client.httpClient.CloseIdleConnections()
		_ = server.Close()
	})
	return client
}

func TestStatusesAreMappedToErrors(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		want   error
	}{
		{"expired", http.StatusGone, ErrExpired},
		{"unavailable", http.StatusServiceUnavailable, ErrUnavailable},
		{"rejected", http.StatusBadRequest, ErrRejected},
		{"unexpected", http.StatusInternalServerError, ErrOutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(c.status) })
			if _, err := client.Commit(t.Context(), Urgent, Txn{}); !errors.Is(err, c.want) {
				t.Errorf("status %d: %v, want %v", c.status, err, c.want)
			}
		})
	}
}

func TestFailedConditionsAreReportedWithoutError(t *testing.T) {
	client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"failed":["cw/x"],"epoch":7}`))
	})
	result, err := client.Commit(t.Context(), Urgent, Txn{Conditions: []Condition{{Key: "cw/x", Revision: 3}}})
	if err != nil || result.Succeeded || result.Revision != 7 || !slices.Equal(result.FailedKeys, []string{"cw/x"}) {
		t.Errorf("%+v, %v", result, err)
	}
}

func TestUndecodableResponseHasUnknownOutcome(t *testing.T) {
	client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"epoch":`)) })
	if _, err := client.Commit(t.Context(), Urgent, Txn{}); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("%v", err)
	}
}

func TestKeepAliveOfUnknownLeaseReturnsExpired(t *testing.T) {
	client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	if err := client.KeepAlive(t.Context(), 5); !errors.Is(err, ErrExpired) {
		t.Errorf("%v", err)
	}
}

func TestListReadsAllPages(t *testing.T) {
	pages := map[string]string{
		"":     `{"rows":[{"key":"cw/a","stamp":1},{"key":"cw/b","stamp":2}],"truncated":true,"epoch":4}`,
		"cw/b": `{"rows":[{"key":"cw/c","stamp":5}],"epoch":6}`,
	}
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(pages[r.URL.Query().Get("from")]))
	})
	rows, revision, err := client.List(t.Context(), "cw/")
	if err != nil || revision != 4 {
		t.Fatalf("revision %d of the first page, %v", revision, err)
	}
	var keys []string
	for _, row := range rows {
		keys = append(keys, row.Key)
	}
	if !slices.Equal(keys, []string{"cw/a", "cw/b", "cw/c"}) {
		t.Errorf("%v", keys)
	}
}
