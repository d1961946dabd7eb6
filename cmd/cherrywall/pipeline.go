package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"cherrywall/internal/apiclient"
	"cherrywall/internal/pipeline"
	"cherrywall/internal/pipelineexec"
	"cherrywall/internal/pipelinerun"
)

type pipelineCmd struct {
	Check    pipelineCheckCmd    `cmd:"" help:"List all errors in a file; with --addr, also check it against the cluster."`
	Run      pipelineRunCmd      `cmd:"" help:"Start a run of a file."`
	Status   pipelineStatusCmd   `cmd:"" help:"Show the status of a run."`
	Graph    pipelineGraphCmd    `cmd:"" help:"Print the jobs of a file and their dependencies."`
	Cancel   pipelineCancelCmd   `cmd:"" help:"Cancel a run."`
	Play     pipelinePlayCmd     `cmd:"" help:"Start a manual job of a run."`
	List     pipelineListCmd     `cmd:"" help:"List the runs in progress and the last runs that ended."`
	Schedule pipelineScheduleCmd `cmd:"" help:"Run files on a schedule."`
	Schema   pipelineSchemaCmd   `cmd:"" help:"Print the JSON schema of pipeline files, for editors."`
}

type pipelineCheckCmd struct {
	controllerFlags
	File string `arg:"" help:"Pipeline file; - for the standard input."`
	JSON bool   `help:"Print JSON."`
}

// printProblems prints the problems of a file, after the notices about keys that are ignored.
func printProblems(file string, problems, notices pipeline.Problems) {
	for _, notice := range notices {
		fmt.Fprintf(os.Stderr, "%s:%s (ignored)\n", file, notice)
	}
	for _, problem := range problems {
		fmt.Fprintf(os.Stderr, "%s:%s\n", file, problem)
	}
}

// Run checks the file locally, and also against the cluster if --addr is given.
func (c pipelineCheckCmd) Run(ctx context.Context) error {
	content, err := readFile(c.File)
	if err != nil {
		return err
	}
	plan, notices, err := pipeline.Parse(content, nil, nil)
	var problems pipeline.Problems
	if err != nil && !errors.As(err, &problems) {
		return err
	}
	if len(problems) == 0 && len(c.Addr) > 0 {
		_, err := c.client().Call(ctx, http.MethodPost, "/check/pipeline", content, nil)
		if problems, _ = decodeProblems(err); err != nil && len(problems) == 0 {
			return err
		}
	}
	if c.JSON {
		if err := printJSON(map[string]any{"errors": problems, "notices": notices}); err != nil {
			return err
		}
	} else {
		printProblems(c.File, problems, notices)
	}
	if len(problems) > 0 {
		return &exitError{exitUsage}
	}
	if !c.JSON {
		fmt.Printf("ok: %d jobs in %d stages\n", len(plan.Jobs), len(plan.Stages)-2) // .pre and .post are not counted
	}
	return nil
}

type pipelineRunCmd struct {
	controllerFlags
	File  string `arg:"" help:"Pipeline file; - for the standard input."`
	Name  string `help:"Name of the run; derived from the file name if omitted."`
	ID    string `help:"Id of the run; generated if omitted. Repeating the command with the same id does not start a second run."`
	Watch bool   `help:"Wait until the run has ended."`
	JSON  bool   `help:"Print JSON."`
}

// Run starts a run of the file, and with --watch shows it until it has ended.
func (c pipelineRunCmd) Run(ctx context.Context) error {
	content, err := readFile(c.File)
	if err != nil {
		return err
	}
	id := cmp.Or(c.ID, newID("run"))
	name := cmp.Or(c.Name, strings.TrimSuffix(filepath.Base(c.File), filepath.Ext(c.File)))
	client := c.client()
	run, err := startRun(ctx, client, id, name, c.File, content)
	if err != nil {
		return err
	}
	if c.Watch {
		return watchRun(ctx, client, id, c.JSON)
	}
	return printRun(run, c.JSON)
}

// printRun prints a run as JSON, or only its id and status.
func printRun(run *pipelinerun.RunView, asJSON bool) error {
	if asJSON {
		return printJSON(run)
	}
	fmt.Println(run.ID, run.Status)
	return nil
}

// startRun starts a run of a pipeline file. If a controller rejects the file, startRun prints the
// problems of the file.
func startRun(ctx context.Context, client *apiclient.Client, id, name, file string, content []byte) (*pipelinerun.RunView, error) {
	var run pipelinerun.RunView
	query := url.Values{"id": {id}, "name": {name}}
	_, err := client.Call(ctx, http.MethodPost, "/pipelines?"+query.Encode(), content, &run)
	return &run, handleRejection(file, err)
}

// handleRejection returns the error to report after a request that sent a pipeline file. If a
// controller rejected the file, handleRejection prints the file's problems and returns an exitError. If the
// controllers do not run pipeline files, the error says so. Any other err is returned unchanged.
func handleRejection(file string, err error) error {
	if problems, notices := decodeProblems(err); len(problems) > 0 {
		printProblems(file, problems, notices)
		return &exitError{exitUsage}
	}
	var statusError *apiclient.StatusError
	if errors.As(err, &statusError) && statusError.Code == http.StatusNotFound {
		return errors.New("this deployment does not run pipeline files")
	}
	return err
}

// decodeProblems returns the problems and notices of a file that a controller rejected, or none if err
// has another cause.
func decodeProblems(err error) (problems, notices pipeline.Problems) {
	var statusError *apiclient.StatusError
	var body struct {
		Errors  pipeline.Problems `json:"errors"`
		Notices pipeline.Problems `json:"notices"`
	}
	if errors.As(err, &statusError) && json.Unmarshal(statusError.Body, &body) == nil {
		return body.Errors, body.Notices
	}
	return nil, nil
}

type pipelineStatusCmd struct {
	controllerFlags
	ID    string `arg:"" help:"Id of the run."`
	Watch bool   `help:"Wait until the run has ended."`
	JSON  bool   `help:"Print JSON."`
}

// Run prints the status of a run, or with --watch shows it until it has ended.
func (c pipelineStatusCmd) Run(ctx context.Context) error {
	client := c.client()
	if c.Watch {
		return watchRun(ctx, client, c.ID, c.JSON)
	}
	run, err := getRun(ctx, client, c.ID)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(run)
	}
	fmt.Print(renderTree(run))
	return runResultError(run)
}

func getRun(ctx context.Context, client *apiclient.Client, id string) (*pipelinerun.RunView, error) {
	var run pipelinerun.RunView
	if _, err := client.Call(ctx, http.MethodGet, "/pipelines/"+id, nil, &run); err != nil {
		return nil, fmt.Errorf("%s: %w", id, err)
	}
	return &run, nil
}

// runResultError returns an exitError if a run has failed or was cancelled.
func runResultError(run *pipelinerun.RunView) error {
	switch run.Status {
	case pipelineexec.RunFailed:
		return &exitError{exitFailed}
	case pipelineexec.RunCancelled:
		return &exitError{exitCancelled}
	}
	return nil
}

type pipelineCancelCmd struct {
	controllerFlags
	ID    string `arg:"" help:"Id of the run."`
	Drain bool   `help:"Let jobs in progress finish if they are not interruptible."`
	JSON  bool   `help:"Print JSON."`
}

// Run cancels the run.
func (c pipelineCancelCmd) Run(ctx context.Context) error {
	path := "/pipelines/" + c.ID + "/cancel"
	if c.Drain {
		path += "?drain=1"
	}
	return c.changeRun(ctx, path, c.JSON)
}

type pipelinePlayCmd struct {
	controllerFlags
	ID   string `arg:"" help:"Id of the run."`
	Job  string `arg:"" help:"Name of the job."`
	JSON bool   `help:"Print JSON."`
}

// Run starts the manual job.
func (c pipelinePlayCmd) Run(ctx context.Context) error {
	return c.changeRun(ctx, "/pipelines/"+c.ID+"/play?"+url.Values{"job": {c.Job}}.Encode(), c.JSON)
}

// changeRun posts a request to change a run and prints the changed run.
func (f controllerFlags) changeRun(ctx context.Context, path string, asJSON bool) error {
	var run pipelinerun.RunView
	if err := f.call(ctx, http.MethodPost, path, nil, &run); err != nil {
		return err
	}
	return printRun(&run, asJSON)
}

type pipelineListCmd struct {
	controllerFlags
	JSON bool `help:"Print JSON."`
}

// Run lists the runs, the latest first.
func (c pipelineListCmd) Run(ctx context.Context) error {
	var list struct {
		Runs []pipelinerun.RunView `json:"runs"`
	}
	if err := c.call(ctx, http.MethodGet, "/pipelines", nil, &list); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(list.Runs)
	}
	slices.SortFunc(list.Runs, func(x, y pipelinerun.RunView) int { return cmp.Compare(y.AcceptedAtMS, x.AcceptedAtMS) })
	var lines strings.Builder
	lines.WriteString("RUN\tNAME\tSTATUS\tACCEPTED\tTOOK\n")
	for _, run := range list.Runs {
		duration := ""
		if run.EndedAtMS > 0 {
			duration = runDuration(&run).Round(time.Second).String()
		}
		fmt.Fprintf(&lines, "%s\t%s\t%s\t%s\t%s\n", run.ID, run.Name, run.Status, time.UnixMilli(run.AcceptedAtMS).Format(time.DateTime), duration)
	}
	return printTable(lines.String())
}

// runDuration returns the duration of a run that has ended.
func runDuration(run *pipelinerun.RunView) time.Duration {
	return time.Duration(run.EndedAtMS-run.AcceptedAtMS) * time.Millisecond
}

type pipelineSchemaCmd struct{}

// Run prints the JSON schema of pipeline files.
func (pipelineSchemaCmd) Run() error {
	schema, err := pipeline.Schema()
	if err != nil {
		return err
	}
	fmt.Println(string(schema))
	return nil
}
