package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"cherrywall/internal/tuning"
)

type statusCmd struct {
	controllerFlags
	What  string `arg:"" optional:"" default:"shares" enum:"shares,members,handovers,start,workers,counts,jobs,fleet,upgrade,troubles,quotas,decisions" help:"View to show: shares (shards of the cluster and their owners), members (controllers), handovers (transfers of shards), start (recovery of shards that changed owner), workers, counts (how many more tasks of each shape fit), jobs (unfinished jobs), fleet (machines and their cost), upgrade (versions of the controllers and limits of the key-value store in force), troubles (machines that receive no responses, controllers that are cut off, jobs that have waited longest), quotas (how much teams with a limit use of their allocations) or decisions (the latest starts, stops, releases and allocations, and the state that each was based on)."`
	Watch bool   `help:"Refresh the view until interrupted."`
	JSON  bool   `help:"Print JSON; always on if the standard output is not a terminal."`
}

// Run shows a view once, or with --watch repeatedly until interrupted.
func (c statusCmd) Run(ctx context.Context) error {
	for {
		var view any
		if err := c.call(ctx, http.MethodGet, "/admin/v1/"+c.What, nil, &view); err != nil {
			return err
		}
		if c.Watch && isTerminal() {
			fmt.Print("\x1b[H\x1b[2J") // clear the screen
		}
		if err := c.print(view); err != nil || !c.Watch {
			return err
		}
		time.Sleep(tuning.CLIPollInterval)
	}
}

// print prints a view as a table if the standard output is a terminal, and as JSON otherwise or with
// --json.
func (c statusCmd) print(view any) error {
	if c.JSON || !isTerminal() {
		return printJSON(view)
	}
	return printTable(formatView(c.What, view))
}

// viewColumns are the keys that the table of each view shows, in order.
var viewColumns = map[string][]string{
	"shares":    {"share", "holder", "live", "settled", "baton", "workers"},
	"upgrade":   {"controller", "version", "knows_awaits"},
	"troubles":  {"kind", "name", "since_s", "why"},
	"members":   {"controller", "state", "beat_s", "state_silent_s", "holds", "held_s"},
	"handovers": {"share", "to", "outcome", "took_s", "ago_s"},
	"start":     {"share", "stage", "since_s", "settled_s", "machines", "heard", "waits_for", "within_s", "unaccounted", "outcomes", "orders"},
	"workers":   {"worker", "share", "build", "zone", "spot", "state", "free", "tasks", "errors"},
	"counts":    {"shape", "zone", "fit", "allocable"},
	"quotas":    {"team", "shard", "epoch", "reconciled", "limit_cpu", "allocated_cpu", "used_cpu", "limit_gpu", "allocated_gpu", "used_gpu", "unknown_tasks"},
	"decisions": {"at", "action", "subject", "attempt", "worker", "shard", "epoch", "token", "revision", "known_at", "reason"},
	"jobs":      {"job", "class", "team", "priority", "tasks", "done", "running", "unclaimed", "effective", "due_in_s", "why"},
}

// formatView returns a view of the administration API as lines of tab-separated cells.
func formatView(viewName string, view any) string {
	var lines strings.Builder
	if object, ok := view.(map[string]any); ok {
		if viewName == "upgrade" {
			fmt.Fprintf(&lines, "open\t%v\nlimits\t%v\n\n", object["open"], object["limits"])
		}
		// The upgrade view is passed to formatFleet, too. Therefore the table of the upgrade
		// view does not list the controllers, and contains a cost per hour without a value.
		lines.WriteString(formatFleet(object))
		return lines.String()
	}
	rows, _ := view.([]any)
	fmt.Fprintln(&lines, strings.ToUpper(strings.Join(viewColumns[viewName], "\t")))
	for _, row := range rows {
		values, _ := row.(map[string]any)
		var cells []string
		for _, key := range viewColumns[viewName] {
			cells = append(cells, formatCell(key, values[key]))
		}
		fmt.Fprintln(&lines, strings.Join(cells, "\t"))
	}
	return lines.String()
}

// formatFleet returns the number of machines of each zone, type and market, and the total cost
// per hour, as lines of tab-separated cells.
func formatFleet(fleet map[string]any) string {
	var lines strings.Builder
	machines, _ := fleet["machines"].(map[string]any)
	for _, machineGroup := range slices.Sorted(maps.Keys(machines)) {
		fmt.Fprintf(&lines, "%s\t%v\n", machineGroup, machines[machineGroup])
	}
	fmt.Fprintf(&lines, "cost per hour\t%v\n", fleet["cost_per_hour"])
	return lines.String()
}

// formatCell returns a value as the text of a cell. The cell of a list shows only the length of the
// list, except for the key "holds".
func formatCell(key string, value any) string {
	switch value := value.(type) {
	case nil:
		return ""
	case []any:
		if key == "holds" {
			return strings.Trim(fmt.Sprint(value), "[]")
		}
		return strconv.Itoa(len(value))
	case map[string]any:
		if key == "outcomes" || key == "orders" {
			return formatCounts(value)
		}
		return fmt.Sprintf("%v cpu %v gpu %v gb", value["cpu"], value["gpu"], value["mem"])
	default:
		return fmt.Sprint(value)
	}
}

// formatCounts returns a cell with counts and their names, sorted by name.
func formatCounts(counts map[string]any) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %v", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
