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
	"slices"
	"strconv"
	"sync"
	"time"

	"cherrywall/internal/tuning"
)

// URL paths of the requests to workers.
const (
	commandPath = "/do"
	inspectPath = "/inspect"
)

// Errors that Probe and Execute return.
var (
	// ErrStaleToken means that the worker has seen a higher fencing token.
	ErrStaleToken = errors.New("worker has seen a higher fencing token")
	// ErrStartInRequest means that a request contains a start command. The network may deliver a copy of
	// a request long after it was answered, when the worker has forgotten the task's end and the task
	// may run elsewhere or be cancelled. A response to a heartbeat is never delivered again.
	ErrStartInRequest = errors.New("starts may be sent only in responses to heartbeats")
	// ErrEpochChanges means that the worker's agent epoch changed between the requests of a probe.
	ErrEpochChanges = errors.New("agent epoch keeps changing")
)

// StatusError means that a worker answered with an unexpected status code.
type StatusError struct{ Code int }

// Error names the status code.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Code) }

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// CommandClient sends requests to workers at their own addresses. After a failover, hundreds of workers are
// contacted within a second, each of them once. So the client opens a connection for each request and closes it
// afterwards, without the structures that the client of net/http sets up to keep connections open. A
// CommandClient is safe for concurrent use.
type CommandClient struct {
	dial DialFunc
}

// NewCommandClient returns a client that opens its connections with dial.
func NewCommandClient(dial DialFunc) *CommandClient {
	return &CommandClient{dial}
}

// Probe sends a worker a fencing token without any command and returns the worker's current heartbeat. From
// then on the worker obeys no lower token. agentEpoch is the last known agent epoch of the worker; if the worker
// is in another agent epoch, Probe repeats the request once with that epoch. The error is or wraps
// ErrStaleToken, ErrEpochChanges, a *StatusError, or the error of the connection or of ParseHeartbeat.
func (c *CommandClient) Probe(ctx context.Context, addr string, fencingToken, agentEpoch uint64) (*Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.FirstContactTimeout)
	defer cancel()
	for range 2 {
		request := CommandRequest{FencingToken: fencingToken, AgentEpoch: agentEpoch, Commands: []Command{}}
		heartbeat, executed, err := c.send(ctx, addr, request)
		if err != nil {
			return nil, fmt.Errorf("probe: %w", err)
		}
		if executed {
			return heartbeat, nil
		}
		if heartbeat.FencingToken > fencingToken {
			return nil, ErrStaleToken
		}
		agentEpoch = heartbeat.AgentEpoch
	}
	return nil, fmt.Errorf("probe: %w", ErrEpochChanges)
}

// Execute sends commands to a worker. It returns the worker's current heartbeat, and whether the worker has
// executed the commands. A worker that is in another agent epoch or has seen a higher fencing token does not
// execute them. If Execute returns an error, it is unknown whether the commands were executed. It is certain that
// they were not if the error is ErrStartInRequest, which a start among the commands causes.
func (c *CommandClient) Execute(ctx context.Context, addr string, request CommandRequest) (heartbeat *Heartbeat, executed bool, err error) {
	if slices.ContainsFunc(request.Commands, func(command Command) bool { return command.Verb == VerbStart }) {
		return nil, false, ErrStartInRequest
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.FirstContactTimeout)
	defer cancel()
	if heartbeat, executed, err = c.send(ctx, addr, request); err != nil {
		return nil, false, fmt.Errorf("command: %w", err)
	}
	return heartbeat, executed, nil
}

// Inspect requests a worker's heartbeat and discards it, to check whether the worker can be reached. It returns
// nil if the worker answers with status 200.
func (c *CommandClient) Inspect(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.FirstContactTimeout)
	defer cancel()
	status, _, err := c.roundTrip(ctx, http.MethodGet, addr, inspectPath, nil)
	if err != nil {
		return fmt.Errorf("inspect: %w", err)
	}
	if status != http.StatusOK {
		return fmt.Errorf("inspect: %w", &StatusError{status})
	}
	return nil
}

// send sends a command request. It returns the worker's heartbeat, and whether the worker has executed the
// request. A worker that does not execute the request answers with its heartbeat as well.
func (c *CommandClient) send(ctx context.Context, addr string, request CommandRequest) (heartbeat *Heartbeat, executed bool, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, false, fmt.Errorf("encode request: %w", err)
	}
	status, responseBody, err := c.roundTrip(ctx, http.MethodPost, addr, commandPath, body)
	if err != nil {
		return nil, false, err
	}
	if status != http.StatusOK && status != http.StatusConflict {
		return nil, false, &StatusError{status}
	}
	if heartbeat, err = ParseHeartbeat(responseBody); err != nil {
		return nil, false, fmt.Errorf("heartbeat: %w", err)
	}
	return heartbeat, status == http.StatusOK, nil
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// roundTrip sends one request over a new connection and reads the response body, up to
// tuning.MaxDirectHeartbeatBytes.
func (c *CommandClient) roundTrip(ctx context.Context, method, addr, path string, body []byte) (status int, responseBody []byte, err error) {
	conn, err := c.dial(ctx, "tcp", addr)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = conn.Close() }()
	// When the context ends, a deadline in the past ends a read or write that blocks.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := conn.Write(encodeRequest(method, addr, path, body)); err != nil {
		return 0, nil, err
	}
	reader := readerPool.Get().(*bufio.Reader)
	defer readerPool.Put(reader)
	reader.Reset(conn)
	response, err := http.ReadResponse(reader, nil) //nolint:bodyclose // closing it would read an oversized answer to its end; the connection is closed
	if err != nil {
		return 0, nil, err
	}
	responseBody, err = io.ReadAll(io.LimitReader(response.Body, tuning.MaxDirectHeartbeatBytes))
	return response.StatusCode, responseBody, err
}

// encodeRequest returns an HTTP request in its wire form. body is JSON, or nil for a request without a body.
func encodeRequest(method, addr, path string, body []byte) []byte {
	const headersSize = 256 // in bytes; longer headers only cost another allocation
	request := make([]byte, 0, headersSize+len(body))
	request = append(request, method+" "+path+" HTTP/1.1\r\nHost: "+addr+"\r\nConnection: close\r\n"...)
	if body != nil {
		request = append(request, "Content-Type: application/json\r\nContent-Length: "...)
		request = strconv.AppendInt(request, int64(len(body)), 10)
		request = append(request, "\r\n"...)
	}
	request = append(request, "\r\n"...)
	return append(request, body...)
}
