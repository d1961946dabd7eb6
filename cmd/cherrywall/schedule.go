package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"cherrywall/internal/pipelinerun"
)

type pipelineScheduleCmd struct {
	Set    scheduleSetCmd    `cmd:"" help:"Run a file on a schedule; replaces a schedule with the same name."`
	List   scheduleListCmd   `cmd:"" help:"List the schedules."`
	Remove scheduleRemoveCmd `cmd:"" help:"Remove a schedule; runs that it has started continue."`
}

type scheduleSetCmd struct {
	controllerFlags
	Name string `arg:"" help:"Name of the schedule."`
	File string `arg:"" help:"Pipeline file; - for the standard input."`
	Cron string `required:"" help:"Cron expression of minute, hour, day, month and day of the week, such as '30 17 * * 1-5', or a shorthand such as @daily."`
	Zone string `required:"" help:"Time zone, such as Europe/Zurich."`
	JSON bool   `help:"Print JSON."`
}

// Run creates or replaces the schedule.
func (c scheduleSetCmd) Run(ctx context.Context) error {
	content, err := readFile(c.File)
	if err != nil {
		return err
	}
	var schedule pipelinerun.ScheduleView
	query := url.Values{"cron": {c.Cron}, "zone": {c.Zone}}
	path := "/schedules/" + url.PathEscape(c.Name) + "?" + query.Encode()
	if _, err = c.client().Call(ctx, http.MethodPut, path, content, &schedule); err != nil {
		return handleRejection(c.File, err)
	}
	if c.JSON {
		return printJSON(schedule)
	}
	fmt.Println(schedule.Name, "runs next at", time.UnixMilli(schedule.NextAtMS).Format(time.RFC1123Z))
	return nil
}

type scheduleListCmd struct {
	controllerFlags
	JSON bool `help:"Print JSON."`
}

// Run lists the schedules.
func (c scheduleListCmd) Run(ctx context.Context) error {
	var list struct {
		Schedules []pipelinerun.ScheduleView `json:"schedules"`
	}
	if err := c.call(ctx, http.MethodGet, "/schedules", nil, &list); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(list.Schedules)
	}
	var lines strings.Builder
	lines.WriteString("SCHEDULE\tCRON\tZONE\tNEXT\tLAST RUN\n")
	for _, schedule := range list.Schedules {
		fmt.Fprintf(&lines, "%s\t%s\t%s\t%s\t%s\n", schedule.Name, schedule.Cron, schedule.Zone,
			time.UnixMilli(schedule.NextAtMS).Format(time.DateTime), schedule.LastRun)
	}
	return printTable(lines.String())
}

type scheduleRemoveCmd struct {
	controllerFlags
	Name string `arg:"" help:"Name of the schedule."`
}

// Run removes the schedule.
func (c scheduleRemoveCmd) Run(ctx context.Context) error {
	return c.call(ctx, http.MethodDelete, "/schedules/"+url.PathEscape(c.Name), nil, nil)
}
