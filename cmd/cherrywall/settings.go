package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
)

type settingsCmd struct {
	Get getCmd `cmd:"" help:"Show the settings, their defaults and units."`
	Set setCmd `cmd:"" help:"Change settings."`
}

type getCmd struct{ controllerFlags }

// Run prints the settings.
func (c getCmd) Run(ctx context.Context) error {
	var settings any
	if err := c.call(ctx, http.MethodGet, "/admin/v1/settings", nil, &settings); err != nil {
		return err
	}
	return printJSON(settings)
}

type setCmd struct {
	controllerFlags
	Version *uint64 `help:"Refuse if the settings have another version; left out, the present one is taken."`
	Change  string  `arg:"" help:"JSON object with the fields to change."`
}

// Run changes the settings, unless they have another version than the given or present one.
func (c setCmd) Run(ctx context.Context) error {
	if !json.Valid([]byte(c.Change)) {
		return &usageError{errors.New("not a JSON object")}
	}
	if c.Version == nil {
		var present struct {
			Version uint64 `json:"version"`
		}
		if err := c.call(ctx, http.MethodGet, "/admin/v1/settings", nil, &present); err != nil {
			return err
		}
		c.Version = &present.Version
	}
	var settings any
	body := map[string]any{"version": *c.Version, "settings": json.RawMessage(c.Change)}
	if err := c.call(ctx, http.MethodPut, "/admin/v1/settings", body, &settings); err != nil {
		return err
	}
	return printJSON(settings)
}
