package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"cherrywall/internal/apiclient"
	"cherrywall/internal/diagnostics"
	"cherrywall/internal/tuning"
)

// controllerFlags is the controllers that a command asks.
type controllerFlags struct {
	Addr []string `help:"host:port of controllers' listen addresses, tried in turn." env:"CHERRYWALL_ADDR" placeholder:"HOST:PORT"`
}

// call asks one of the controllers; see client.Client.
func (t controllerFlags) call(method, path string, body, out any) error {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
	}
	_, err := apiclient.New(t.Addr...).Call(context.Background(), method, path, raw, out)
	return err
}

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printJSONLine prints JSON in a line, for programs that read one answer after the other.
func printJSONLine(v any) error { return json.NewEncoder(os.Stdout).Encode(v) }

type statusCmd struct {
	controllerFlags
	What  string `arg:"" optional:"" default:"shares" enum:"shares,members,handovers,start,workers,counts,jobs,fleet,upgrade,troubles" help:"shares, members (controllers), handovers, start (how far shares are that changed hands), workers, counts, jobs, fleet, upgrade (versions, and limits in force) or troubles (machines that do not hear, controllers that are cut off, jobs that wait longest)."`
	Watch bool   `help:"Show it again and again."`
	JSON  bool   `help:"Print JSON; so it is anyway where no terminal reads it."`
}

// viewColumns are what a table of a view shows, in this order.
var viewColumns = map[string][]string{
	"shares":    {"share", "holder", "live", "settled", "baton", "workers"},
	"upgrade":   {"controller", "version", "knows_awaits"},
	"troubles":  {"kind", "name", "since_s", "why"},
	"members":   {"controller", "state", "beat_s", "state_silent_s", "holds", "held_s"},
	"handovers": {"share", "to", "outcome", "took_s", "ago_s"},
	"start":     {"share", "stage", "since_s", "settled_s", "machines", "heard", "waits_for", "within_s", "unaccounted", "outcomes", "orders"},
	"workers":   {"worker", "share", "build", "zone", "spot", "state", "free", "tasks", "errors"},
	"counts":    {"shape", "zone", "fit", "allocable"},
	"jobs":      {"job", "class", "team", "priority", "tasks", "done", "running", "unclaimed", "effective", "due_in_s", "why"},
}

// writeView puts a view into columns: lists are told by their length, amounts in short.
func writeView(out io.Writer, what string, v any) {
	rows, _ := v.([]any)
	if up, ok := v.(map[string]any); ok && what == "upgrade" {
		fmt.Fprintf(out, "open\t%v\nlimits\t%v\n\n", up["open"], up["limits"])
		rows, _ = up["controllers"].([]any)
	}
	if fleet, ok := v.(map[string]any); ok { // machines by kind, and what they cost
		machines, _ := fleet["machines"].(map[string]any)
		for _, kind := range slices.Sorted(maps.Keys(machines)) {
			fmt.Fprintf(out, "%s\t%v\n", kind, machines[kind])
		}
		fmt.Fprintf(out, "cost an hour\t%v\n", fleet["cost_per_hour"])
		return
	}
	fmt.Fprintln(out, strings.ToUpper(strings.Join(viewColumns[what], "\t")))
	for _, r := range rows {
		row, _ := r.(map[string]any)
		var cells []string
		for _, key := range viewColumns[what] {
			switch x := row[key].(type) {
			case nil:
				cells = append(cells, "")
			case []any:
				if key == "holds" {
					cells = append(cells, strings.Trim(fmt.Sprint(x), "[]"))
					continue
				}
				cells = append(cells, strconv.Itoa(len(x)))
			case map[string]any:
				if key == "outcomes" || key == "orders" {
					cells = append(cells, formatCounts(x))
					continue
				}
				cells = append(cells, fmt.Sprintf("%v cpu %v gpu %v gb", x["cpu"], x["gpu"], x["mem"]))
			default:
				cells = append(cells, fmt.Sprint(x))
			}
		}
		fmt.Fprintln(out, strings.Join(cells, "\t"))
	}
}

// formatCounts puts numbers by name into a cell.
func formatCounts(by map[string]any) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(by)) {
		out = append(out, fmt.Sprintf("%s %v", name, by[name]))
	}
	return strings.Join(out, ", ")
}

func (c statusCmd) Run() error {
	for {
		var v any
		if err := c.call(http.MethodGet, "/admin/v1/"+c.What, nil, &v); err != nil {
			return err
		}
		if c.Watch && terminal() {
			fmt.Print("\x1b[H\x1b[2J") // a clean page
		}
		print := func() error { return printJSON(v) }
		if terminal() && !c.JSON {
			print = func() error { return printTable(func(w io.Writer) { writeView(w, c.What, v) }) }
		}
		if err := print(); err != nil || !c.Watch {
			return err
		}
		time.Sleep(tuning.CLIPollInterval)
	}
}

type doctorCmd struct {
	controllerFlags
	JSON bool `help:"Print JSON."`
}

// Run asks each controller that is named, since each knows its own machines and way best.
func (c doctorCmd) Run() error {
	asks, code := 0, 0
	all := map[string][]diagnostics.Finding{}
	for _, addr := range c.Addr {
		var found []diagnostics.Finding
		ctx, stop := context.WithTimeout(context.Background(), tuning.CLIRequestTimeout)
		_, err := apiclient.New(addr).Call(ctx, http.MethodGet, "/admin/v1/doctor", nil, &found)
		stop()
		if err != nil {
			found = []diagnostics.Finding{{Problem: err.Error(), Action: "see whether the controller runs"}}
		}
		all[addr] = found
		for _, f := range found {
			if code = exitFailed; f.Action != "" {
				asks++
			}
		}
	}
	if c.JSON {
		if err := printJSON(all); err != nil {
			return err
		}
	} else {
		for _, addr := range c.Addr {
			for _, f := range all[addr] {
				fmt.Printf("%s: %s\n", addr, f.Problem)
				if f.Action != "" {
					fmt.Printf("    to do: %s\n", f.Action)
				}
			}
		}
		fmt.Printf("%d controllers asked, %d things for a person to do\n", len(c.Addr), asks)
	}
	if code != 0 {
		return &exitError{code}
	}
	return nil
}

type whyCmd struct {
	controllerFlags
	Job string `arg:"" help:"The job's id."`
}

func (c whyCmd) Run() error {
	var all []map[string]any
	if err := c.call(http.MethodGet, "/admin/v1/jobs", nil, &all); err != nil {
		return err
	}
	for _, j := range all {
		if j["job"] == c.Job {
			return printJSON(j)
		}
	}
	return fmt.Errorf("%s: no unfinished job", c.Job)
}

type settingsCmd struct {
	Get getCmd `cmd:"" help:"Show the settings, their defaults and units."`
	Set setCmd `cmd:"" help:"Change settings."`
}

type getCmd struct{ controllerFlags }

func (c getCmd) Run() error {
	var v any
	if err := c.call(http.MethodGet, "/admin/v1/settings", nil, &v); err != nil {
		return err
	}
	return printJSON(v)
}

type setCmd struct {
	controllerFlags
	Version *uint64 `help:"Refuse if the settings have another version; left out, the present one is taken."`
	Change  string  `arg:"" help:"JSON object with the fields to change."`
}

func (c setCmd) Run() error {
	if !json.Valid([]byte(c.Change)) {
		return &usageError{errors.New("not a JSON object")}
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
	return printJSON(v)
}
