package workerapi

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cherrywall/internal/tuning"
)

// ErrStaleToken means that a worker has seen a higher token.
var ErrStaleToken = errors.New("worker has seen a higher token")

// CommandClient speaks to workers at their own addresses. After a change of hands hundreds
// are spoken to within a second, each once: a connection is opened, used for one
// question and closed, without what net/http's client sets up to keep it.
type CommandClient struct {
	dial func(context.Context, string, string) (net.Conn, error)
}

// NewCommandClient makes the client.
func NewCommandClient(dial func(context.Context, string, string) (net.Conn, error)) *CommandClient {
	return &CommandClient{dial}
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// roundTrip makes one request and reads the whole answer.
func (d *CommandClient) roundTrip(ctx context.Context, method, addr, path string, body []byte) (int, []byte, error) {
	conn, err := d.dial(ctx, "tcp", addr)
	if err != nil {
		return 0, nil, err
	}
	defer conn.Close()
	// The end of the context ends a call that hangs.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	req := make([]byte, 0, 256+len(body))
	req = append(req, method+" "+path+" HTTP/1.1\r\nHost: "+addr+"\r\nConnection: close\r\n"...)
	if body != nil {
		req = append(req, "Content-Type: application/json\r\nContent-Length: "...)
		req = strconv.AppendInt(req, int64(len(body)), 10)
		req = append(req, "\r\n"...)
	}
	req = append(append(req, "\r\n"...), body...)
	if _, err := conn.Write(req); err != nil {
		return 0, nil, err
	}
	r := readerPool.Get().(*bufio.Reader)
	defer readerPool.Put(r)
	r.Reset(conn)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, tuning.MaxDirectHeartbeatBytes))
	return resp.StatusCode, raw, err
}

// Probe shows a worker a new token, without any order, and returns its report
// of that moment: from then on it obeys no lower one. watch is the session that
// it is believed to be in; if it is in another, it is asked once more.
func (d *CommandClient) Probe(ctx context.Context, addr string, fencingToken, agentEpoch uint64) (*Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.FirstContactTimeout)
	defer cancel()
	for range 2 {
		heartbeat, done, err := d.send(ctx, addr, CommandRequest{FencingToken: fencingToken, AgentEpoch: agentEpoch, Commands: []Command{}})
		if err != nil {
			return nil, fmt.Errorf("greet: %w", err)
		}
		if done {
			return heartbeat, nil
		}
		if heartbeat.FencingToken > fencingToken {
			return nil, ErrStaleToken
		}
		agentEpoch = heartbeat.AgentEpoch
	}
	return nil, fmt.Errorf("greet: session changes")
}

// CommandRequest is what a worker is told at its own address. It holds for one session and one fencing
// token whenever it arrives, and renews no lease.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	AgentEpoch   uint64    `json:"watch"`
	Commands     []Command `json:"orders"`
}

// Execute gives a worker a command. It returns the worker's report of that moment, and whether the
// command was executed: it is not in another session, or below the highest token seen.
func (d *CommandClient) Execute(ctx context.Context, addr string, c CommandRequest) (heartbeat *Heartbeat, done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.FirstContactTimeout)
	defer cancel()
	if heartbeat, done, err = d.send(ctx, addr, c); err != nil {
		return nil, false, fmt.Errorf("command: %w", err)
	}
	return heartbeat, done, nil
}

func (d *CommandClient) send(ctx context.Context, addr string, c CommandRequest) (heartbeat *Heartbeat, done bool, err error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, false, err
	}
	status, raw, err := d.roundTrip(ctx, http.MethodPost, addr, "/do", body)
	if err != nil {
		return nil, false, err
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return nil, false, fmt.Errorf("status %d", status)
	}
	if heartbeat, err = ParseHeartbeat(raw); err != nil {
		return nil, false, fmt.Errorf("report: %w", err)
	}
	return heartbeat, status == http.StatusOK, nil
}

// Inspect asks a worker for its report, only to see whether it can be reached.
func (d *CommandClient) Inspect(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.FirstContactTimeout)
	defer cancel()
	status, _, err := d.roundTrip(ctx, http.MethodGet, addr, "/inspect", nil)
	if err != nil {
		return fmt.Errorf("inspect: %w", err)
	}
	if status != http.StatusOK {
		return fmt.Errorf("inspect: status %d", status)
	}
	return nil
}
