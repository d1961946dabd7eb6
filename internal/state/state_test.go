package state

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
)

// pipes is a network in memory: what is dialled is accepted.
type pipes chan net.Conn

func (p pipes) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	p <- far
	return near, nil
}

func (p pipes) Accept() (net.Conn, error) {
	if c, ok := <-p; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (p pipes) Close() error   { return nil }
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

// A service over its limits has executed nothing. Giving such a request up at
// once made a third of the submissions late on grown days.
func TestARefusalForLimitsIsAskedAgainAndCutsTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := make(pipes, 1)
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
		before := c.reqs.Limit()
		res, err := c.Do(t.Context(), Urgent, Txn{Writes: []Write{{Drop: "cw/x"}}})
		if err != nil || !res.OK || res.Epoch != 9 || asked != 3 {
			t.Errorf("%+v after %d requests: %v", res, asked, err)
		}
		if c.reqs.Limit() >= before || float64(c.reqs.Limit()) < 150/3*0.9 {
			t.Errorf("budget %v, before %v", c.reqs.Limit(), before)
		}
		close(network)
		c.hc.CloseIdleConnections()
		_ = srv.Close() // the connections end with it
	})
}
