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

// newTestClient returns a client that reaches a test server over in-memory connections. The server answers each
// request with the result of respond.
func newTestClient(t *testing.T, respond func(body string) (status int, heartbeat string)) *CommandClient {
	t.Helper()
	return NewCommandClient(func(context.Context, string, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		go func() {
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				request, _ := io.ReadAll(r.Body)
				status, heartbeat := respond(string(request))
				w.WriteHeader(status)
				_, _ = io.WriteString(w, heartbeat)
			})}
			_ = server.Serve(&singleConnListener{conn: serverConn, done: make(chan struct{})})
		}()
		return clientConn, nil
	})
}

// singleConnListener is a listener that accepts a single connection.
type singleConnListener struct {
	conn net.Conn
	done chan struct{}
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	if conn := l.conn; conn != nil {
		l.conn = nil
		return conn, nil
	}
	<-l.done
	return nil, net.ErrClosed
}
func (l *singleConnListener) Close() error   { return nil }
func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// heartbeatWithToken returns the heartbeat of a worker in the agent epoch 3.
func heartbeatWithToken(token string) string {
	return `{"host":"i-1","addr":"x","build":"g8","valley":"a","watch":3,"tick":9,"baton":` + token + `,"shifts":[]}`
}

func TestProbeRetriesEpochAndReportsFailures(t *testing.T) {
	t.Run("repeats the request in the worker's agent epoch", func(t *testing.T) {
		client := newTestClient(t, func(body string) (int, string) {
			if strings.Contains(body, `"watch":3`) {
				return 200, heartbeatWithToken("41")
			}
			return 409, heartbeatWithToken("7")
		})
		heartbeat, err := client.Probe(t.Context(), "w:1", 41, 1)
		if err != nil || heartbeat.FencingToken != 41 || heartbeat.AgentEpoch != 3 {
			t.Errorf("%+v, %v", heartbeat, err)
		}
	})
	t.Run("worker has seen a higher fencing token", func(t *testing.T) {
		client := newTestClient(t, func(string) (int, string) { return 409, heartbeatWithToken("50") })
		if _, err := client.Probe(t.Context(), "w:1", 41, 3); !errors.Is(err, ErrStaleToken) {
			t.Errorf("error %v, want %v", err, ErrStaleToken)
		}
	})
	t.Run("agent epoch keeps changing", func(t *testing.T) {
		client := newTestClient(t, func(string) (int, string) { return 409, heartbeatWithToken("7") })
		if _, err := client.Probe(t.Context(), "w:1", 41, 1); !errors.Is(err, ErrEpochChanges) {
			t.Errorf("error %v, want %v", err, ErrEpochChanges)
		}
	})
	t.Run("incomplete heartbeat", func(t *testing.T) {
		client := newTestClient(t, func(string) (int, string) { return 200, "{" })
		var fieldErr *FieldError
		if _, err := client.Probe(t.Context(), "w:1", 41, 3); !errors.As(err, &fieldErr) {
			t.Errorf("error %v, want a FieldError", err)
		}
	})
	t.Run("unexpected status", func(t *testing.T) {
		client := newTestClient(t, func(string) (int, string) { return 400, "" })
		var statusErr *StatusError
		if _, err := client.Probe(t.Context(), "w:1", 41, 3); !errors.As(err, &statusErr) || statusErr.Code != 400 {
			t.Errorf("error %v, want status 400", err)
		}
	})
}

// A start is never sent in a request, whatever else the request contains.
func TestExecuteRefusesStarts(t *testing.T) {
	sentCount := 0
	client := newTestClient(t, func(string) (int, string) { sentCount++; return 200, heartbeatWithToken("41") })
	commands := []Command{{Verb: VerbStop, Task: "wk-1/0", Attempt: 3}, {Verb: VerbStart, Task: "wk-1/1", Attempt: 4}}
	_, executed, err := client.Execute(t.Context(), "w:1", CommandRequest{FencingToken: 41, AgentEpoch: 1, Commands: commands})
	if !errors.Is(err, ErrStartInRequest) || executed || sentCount > 0 {
		t.Errorf("error %v, executed %v, %d requests", err, executed, sentCount)
	}
	_, executed, err = client.Execute(t.Context(), "w:1", CommandRequest{FencingToken: 41, AgentEpoch: 1, Commands: commands[:1]})
	if err != nil || !executed || sentCount != 1 {
		t.Errorf("without the start: error %v, executed %v, %d requests", err, executed, sentCount)
	}
}

// BenchmarkProbe measures a probe over the loopback interface, including the worker's part.
func BenchmarkProbe(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, sampleHeartbeat)
	})}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	client := NewCommandClient((&net.Dialer{}).DialContext)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Probe(b.Context(), listener.Addr().String(), 41, 1); err != nil {
			b.Fatal(err)
		}
	}
}
