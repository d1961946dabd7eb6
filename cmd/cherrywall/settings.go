package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
)

type settingsCmd struct {
	Get settingsGetCmd `cmd:"" help:"Show the settings, their defaults and units."`
	Set settingsSetCmd `cmd:"" help:"Change settings."`
}

type settingsGetCmd struct{ controllerFlags }

// Run prints the settings.
func (c settingsGetCmd) Run(ctx context.Context) error {
	var settings any
	if err := c.call(ctx, http.MethodGet, "/admin/v1/settings", nil, &settings); err != nil {
		return err
	}
	return printJSON(settings)
}

type settingsSetCmd struct {
	controllerFlags
	Version *uint64 `help:"Expected version of the settings; the change is rejected if they have another version. The current version if omitted."`
	Change  string  `arg:"" help:"JSON object with the fields to change."`
}

// Run changes the settings if they still have the given version. If no version is given, it first
// reads the current version.
func (c settingsSetCmd) Run(ctx context.Context) error {
	if !json.Valid([]byte(c.Change)) {
		return &usageError{errors.New("the change is not valid JSON")}
	}
	if c.Version == nil {
		var current struct {
			Version uint64 `json:"version"`
		}
		if err := c.call(ctx, http.MethodGet, "/admin/v1/settings", nil, &current); err != nil {
			return err
		}
		c.Version = &current.Version
	}
	var settings any
	body := map[string]any{"version": *c.Version, "settings": json.RawMessage(c.Change)}
	if err := c.call(ctx, http.MethodPut, "/admin/v1/settings", body, &settings); err != nil {
		return err
	}
	return printJSON(settings)
}
