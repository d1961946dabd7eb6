package kvstore

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/tuning"
)

// memoryNetwork is a network in memory: what is dialled is accepted.
type memoryNetwork chan net.Conn

func (p memoryNetwork) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	p <- far
	return near, nil
}

func (p memoryNetwork) Accept() (net.Conn, error) {
	if c, ok := <-p; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (p memoryNetwork) Close() error   { return nil }
func (p memoryNetwork) Addr() net.Addr { return &net.TCPAddr{} }

// A service over its limits has executed nothing. Giving such a request up at
// once made a third of the submissions late on grown days.
func TestARefusalForLimitsIsAskedAgainAndCutsTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := make(memoryNetwork, 1)
		asked := 0
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if asked++; asked < 3 {
				w.WriteHeader(http.StatusTooManyRequests)
				return
			}
			_, _ = w.Write([]byte(`{"epoch":9}`))
		})}
		go func() { _ = srv.Serve(network) }()
		c := New("state:1", 150, 50, 3, network.dial)
		before := c.requestLimiter.Limit()
		result, err := c.Commit(t.Context(), Urgent, Txn{Writes: []Write{{DeleteKey: "cw/x"}}})
		if err != nil || !result.Succeeded || result.Revision != 9 || asked != 3 {
			t.Errorf("%+v after %d requests: %v", result, asked, err)
		}
		if c.requestLimiter.Limit() >= before || float64(c.requestLimiter.Limit()) < 150/3*0.9 {
			t.Errorf("budget %v, before %v", c.requestLimiter.Limit(), before)
		}
		close(network)
		c.httpClient.CloseIdleConnections()
		_ = srv.Close() // the connections end with it
	})
}

// Each controller learned its part by being refused, hundreds of times a day.
func TestWhatTheOthersUseIsLeftToThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New("state:1", 300, 100, 3, nil)
		limits := func() (float64, float64) { return float64(c.requestLimiter.Limit()), float64(c.writeLimiter.Limit()) }
		alone, _ := limits()
		c.RecordPeerUsage("n1", 10, 2)
		if r, _ := limits(); r != alone {
			t.Errorf("%v with one of two others heard, %v before", r, alone)
		}
		c.RecordPeerUsage("n2", 20, 3)
		if r, w := limits(); r != 180 || w != 60 {
			t.Errorf("%v and %v while the others use little", r, w)
		}
		c.RecordPeerUsage("n1", 200, 60)
		c.RecordPeerUsage("n2", 20, 15)
		if r, w := limits(); r != 155 || w != 50 {
			t.Errorf("%v and %v left by 220 and 75", r, w)
		}
		c.RecordPeerUsage("n2", 400, 400)
		if r, w := limits(); r < 118 || r > 119 || w < 39 || w > 40 {
			t.Errorf("%v and %v: less than an even part, or much more", r, w)
		}
		time.Sleep(time.Second)
		for range 30 {
			c.recordRequest(2)
		}
		if r, w := c.Usage(); r < 15 || r > 30 || w != 2*r {
			t.Errorf("30 requests with two changes each within a second told as %v and %v", r, w)
		}
		time.Sleep(tuning.PeerIdleTimeout) // nobody is heard any more
		c.mu.Lock()
		c.updateLimits(time.Now())
		c.mu.Unlock()
		if r, _ := limits(); r != alone {
			t.Errorf("%v after the others fell silent, %v before", r, alone)
		}
	})
}
