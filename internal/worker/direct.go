package worker

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

// ErrRefused means that a worker has seen a higher token.
var ErrRefused = errors.New("worker has seen a higher token")

// Direct speaks to workers at their own addresses. After a change of hands hundreds
// are spoken to within a second, each once: a connection is opened, used for one
// question and closed, without what net/http's client sets up to keep it.
type Direct struct {
	dial func(context.Context, string, string) (net.Conn, error)
}

// NewDirect makes the client.
func NewDirect(dial func(context.Context, string, string) (net.Conn, error)) *Direct {
	return &Direct{dial}
}

var readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// ask makes one request and reads the whole answer.
func (d *Direct) ask(ctx context.Context, method, addr, path string, body []byte) (int, []byte, error) {
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
	r := readers.Get().(*bufio.Reader)
	defer readers.Put(r)
	r.Reset(conn)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, tuning.MaxDirectReport))
	return resp.StatusCode, raw, err
}

// Greet shows a worker a new token, without any order, and returns its report
// of that moment: from then on it obeys no lower one. watch is the session that
// it is believed to be in; if it is in another, it is asked once more.
func (d *Direct) Greet(ctx context.Context, addr string, token, watch uint64) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.GreetTimeout)
	defer cancel()
	for range 2 {
		rep, done, err := d.command(ctx, addr, Command{Token: token, Watch: watch, Orders: []Order{}})
		if err != nil {
			return nil, fmt.Errorf("greet: %w", err)
		}
		if done {
			return rep, nil
		}
		if rep.Token > token {
			return nil, ErrRefused
		}
		watch = rep.Watch
	}
	return nil, fmt.Errorf("greet: session changes")
}

// Command is what a worker is told at its own address. It holds for one session and one fencing
// token whenever it arrives, and renews no lease.
type Command struct {
	Token  uint64  `json:"baton"`
	Watch  uint64  `json:"watch"`
	Orders []Order `json:"orders"`
}

// Do gives a worker a command. It returns the worker's report of that moment, and whether the
// command was executed: it is not in another session, or below the highest token seen.
func (d *Direct) Do(ctx context.Context, addr string, c Command) (rep *Report, done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.GreetTimeout)
	defer cancel()
	if rep, done, err = d.command(ctx, addr, c); err != nil {
		return nil, false, fmt.Errorf("command: %w", err)
	}
	return rep, done, nil
}

func (d *Direct) command(ctx context.Context, addr string, c Command) (rep *Report, done bool, err error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, false, err
	}
	status, raw, err := d.ask(ctx, http.MethodPost, addr, "/do", body)
	if err != nil {
		return nil, false, err
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return nil, false, fmt.Errorf("status %d", status)
	}
	if rep, err = ParseReport(raw); err != nil {
		return nil, false, fmt.Errorf("report: %w", err)
	}
	return rep, status == http.StatusOK, nil
}

// Inspect asks a worker for its report, only to see whether it can be reached.
func (d *Direct) Inspect(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.GreetTimeout)
	defer cancel()
	status, _, err := d.ask(ctx, http.MethodGet, addr, "/inspect", nil)
	if err != nil {
		return fmt.Errorf("inspect: %w", err)
	}
	if status != http.StatusOK {
		return fmt.Errorf("inspect: status %d", status)
	}
	return nil
}
