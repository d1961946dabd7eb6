package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"cherrywall/internal/tuning"
)

// target is the controller that a command asks.
type target struct {
	Addr string `help:"host:port of a controller's listen address." required:"" placeholder:"HOST:PORT"`
}

func (t target) call(method, path string, body, out any) error {
	var rd io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		rd = bytes.NewReader(raw)
	}
	req, err := http.NewRequest(method, "http://"+t.Addr+path, rd)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	resp, err := (&http.Client{Timeout: tuning.CommandTimeout}).Do(req)
	if err != nil {
		return fmt.Errorf("ask %s: %w", t.Addr, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("ask %s: %w", t.Addr, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %d: %s", t.Addr, resp.StatusCode, bytes.TrimSpace(raw))
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fmt.Errorf("answer of %s: %w", t.Addr, err)
	}
	return nil
}

func show(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

type statusCmd struct {
	target
	What string `arg:"" optional:"" default:"shares" enum:"shares,workers,counts,jobs,fleet" help:"shares, workers, counts, jobs or fleet."`
}

func (c statusCmd) Run() error {
	var v any
	if err := c.call(http.MethodGet, "/admin/v1/"+c.What, nil, &v); err != nil {
		return err
	}
	return show(v)
}

type whyCmd struct {
	target
	Job string `arg:"" help:"The job's id."`
}

func (c whyCmd) Run() error {
	var all []map[string]any
	if err := c.call(http.MethodGet, "/admin/v1/jobs", nil, &all); err != nil {
		return err
	}
	for _, j := range all {
		if j["job"] == c.Job {
			return show(j)
		}
	}
	return fmt.Errorf("%s: no unfinished job", c.Job)
}

type settingsCmd struct {
	Get getCmd `cmd:"" help:"Show the settings, their defaults and units."`
	Set setCmd `cmd:"" help:"Change settings."`
}

type getCmd struct{ target }

func (c getCmd) Run() error {
	var v any
	if err := c.call(http.MethodGet, "/admin/v1/settings", nil, &v); err != nil {
		return err
	}
	return show(v)
}

type setCmd struct {
	target
	Version *uint64 `help:"Refuse if the settings have another version; left out, the present one is taken."`
	Change  string  `arg:"" help:"JSON object with the fields to change."`
}

func (c setCmd) Run() error {
	if !json.Valid([]byte(c.Change)) {
		return &settingsError{errors.New("not a JSON object")}
	}
	if c.Version == nil {
		var now struct {
			Version uint64 `json:"version"`
		}
		if err := c.call(http.MethodGet, "/admin/v1/settings", nil, &now); err != nil {
			return err
		}
		c.Version = &now.Version
	}
	var v any
	body := map[string]any{"version": *c.Version, "settings": json.RawMessage(c.Change)}
	if err := c.call(http.MethodPut, "/admin/v1/settings", body, &v); err != nil {
		return err
	}
	return show(v)
}
