package workerapi

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// serve answers one greeting after the other over connections in memory.
func serve(t *testing.T, answers func(body string) (int, string)) *CommandClient {
	t.Helper()
	return NewCommandClient(func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				raw, _ := io.ReadAll(r.Body)
				code, body := answers(string(raw))
				w.WriteHeader(code)
				_, _ = io.WriteString(w, body)
			})}
			_ = srv.Serve(&singleConnListener{conn: far, done: make(chan struct{})})
		}()
		return near, nil
	})
}

// singleConnListener is a listener with a single connection.
type singleConnListener struct {
	conn net.Conn
	done chan struct{}
}

func (o *singleConnListener) Accept() (net.Conn, error) {
	if c := o.conn; c != nil {
		o.conn = nil
		return c, nil
	}
	<-o.done
	return nil, net.ErrClosed
}
func (o *singleConnListener) Close() error   { return nil }
func (o *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

func TestAGreetingFindsTheSessionAndHeedsAHigherToken(t *testing.T) {
	report := func(token string) string {
		return `{"host":"i-1","addr":"x","build":"g8","valley":"a","watch":3,"tick":9,"baton":` + token + `,"shifts":[]}`
	}
	d := serve(t, func(body string) (int, string) {
		if strings.Contains(body, `"watch":3`) {
			return 200, report("41")
		}
		return 409, report("7")
	})
	if heartbeat, err := d.Probe(t.Context(), "w:1", 41, 1); err != nil || heartbeat.FencingToken != 41 || heartbeat.AgentEpoch != 3 {
		t.Errorf("%+v, %v", heartbeat, err)
	}
	d = serve(t, func(string) (int, string) { return 409, report("50") })
	if _, err := d.Probe(t.Context(), "w:1", 41, 3); !errors.Is(err, ErrStaleToken) {
		t.Errorf("a worker that knows a higher token: %v", err)
	}
	d = serve(t, func(string) (int, string) { return 200, "{" })
	if _, err := d.Probe(t.Context(), "w:1", 41, 3); err == nil {
		t.Error("a torn report was taken")
	}
}

// BenchmarkGreet is a greeting over loopback, the worker's part included.
func BenchmarkGreet(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, sampleHeartbeat)
	})}
	go func() { _ = srv.Serve(ln) }()
	defer srv.Close()
	d := NewCommandClient((&net.Dialer{}).DialContext)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := d.Probe(b.Context(), ln.Addr().String(), 41, 1); err != nil {
			b.Fatal(err)
		}
	}
}
