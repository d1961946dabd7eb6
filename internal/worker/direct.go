package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"cherrywall/internal/tuning"
)

// ErrRefused means that a worker has seen a higher baton.
var ErrRefused = errors.New("worker has seen a higher baton")

// Direct speaks to workers at their own addresses.
type Direct struct{ hc *http.Client }

// NewDirect makes the client. Connections are not kept: a worker is spoken to
// only when its share has changed hands.
func NewDirect(dial func(context.Context, string, string) (net.Conn, error)) *Direct {
	return &Direct{&http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true,
		DisableCompression: true}}}
}

// Greet shows a worker a new baton, without any order, and returns its report
// of that moment: from then on it obeys no lower one. watch is the session that
// it is believed to be in; if it is in another, it is asked once more.
func (d *Direct) Greet(ctx context.Context, addr string, baton, watch uint64) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, tuning.GreetTimeout)
	defer cancel()
	for range 2 {
		raw, err := json.Marshal(map[string]any{"baton": baton, "watch": watch, "orders": []Order{}})
		if err != nil {
			return nil, fmt.Errorf("encode greeting: %w", err)
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/do", bytes.NewReader(raw))
		if err != nil {
			return nil, fmt.Errorf("make greeting: %w", err)
		}
		resp, err := d.hc.Do(req)
		if err != nil {
			return nil, fmt.Errorf("greet: %w", err)
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, tuning.MaxDirectReport))
		_ = resp.Body.Close() // read to its end or given up
		if err != nil {
			return nil, fmt.Errorf("greet: %w", err)
		}
		if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
			return nil, fmt.Errorf("greet: status %d", resp.StatusCode)
		}
		rep, err := ParseReport(body)
		if err != nil {
			return nil, fmt.Errorf("greet: report: %w", err)
		}
		if resp.StatusCode == http.StatusOK {
			return rep, nil
		}
		if rep.Baton > baton {
			return nil, ErrRefused
		}
		watch = rep.Watch
	}
	return nil, fmt.Errorf("greet: session changes")
}

// Inspect asks a worker for its report, only to see whether it can be reached.
func (d *Direct) Inspect(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.GreetTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/inspect", nil)
	if err != nil {
		return fmt.Errorf("make inspection: %w", err)
	}
	resp, err := d.hc.Do(req)
	if err != nil {
		return fmt.Errorf("inspect: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("inspect: status %d", resp.StatusCode)
	}
	return nil
}
