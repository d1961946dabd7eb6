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
	Check    pipelineCheckCmd    `cmd:"" help:"Tell all that is wrong with a file; with --addr also what the cluster makes of it."`
	Run      pipelineRunCmd      `cmd:"" help:"Run a file."`
	Status   pipelineStatusCmd   `cmd:"" help:"Tell how a run stands."`
	Graph    pipelineGraphCmd    `cmd:"" help:"Draw what waits for what in a file."`
	Cancel   pipelineCancelCmd   `cmd:"" help:"Cancel a run."`
	Play     pipelinePlayCmd     `cmd:"" help:"Start a manual job of a run."`
	List     pipelineListCmd     `cmd:"" help:"List the runs under way, and the last that ended."`
	Schedule pipelineScheduleCmd `cmd:"" help:"Run files by the calendar."`
	Schema   pipelineSchemaCmd   `cmd:"" help:"Print the JSON schema of pipeline files, for editors."`
}

type pipelineCheckCmd struct {
	controllerFlags
	File string `arg:"" help:"The pipeline file, - for the standard input."`
	JSON bool   `help:"Print JSON."`
}

// printProblems prints the problems of a file, after the notices about what is ignored in it.
func printProblems(file string, problems, notices pipeline.Problems) {
	for _, notice := range notices {
		fmt.Fprintf(os.Stderr, "%s:%s (left out)\n", file, notice)
	}
	for _, problem := range problems {
		fmt.Fprintf(os.Stderr, "%s:%s\n", file, problem)
	}
}

// Run checks the file, and with --addr also against the cluster.
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
		if problems, _ = problemsIn(err); err != nil && len(problems) == 0 {
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
		fmt.Printf("ok: %d jobs in %d stages\n", len(plan.Jobs), len(plan.Stages)-2)
	}
	return nil
}

type pipelineRunCmd struct {
	controllerFlags
	File  string `arg:"" help:"The pipeline file, - for the standard input."`
	Name  string `help:"Name of the run; the file's if left out."`
	ID    string `help:"The run's id; one is made up if left out. Asked again with the same id, a file is run once."`
	Watch bool   `help:"Wait until it is over."`
	JSON  bool   `help:"Print JSON."`
}

// Run starts a run of the file, and waits for it with --watch.
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

// printRun prints a run, without --json only its id and status.
func printRun(run *pipelinerun.RunView, asJSON bool) error {
	if asJSON {
		return printJSON(run)
	}
	fmt.Println(run.ID, run.Status)
	return nil
}

// startRun starts a run of a pipeline file. The problems of a file that is refused are printed.
func startRun(ctx context.Context, client *apiclient.Client, id, name, file string, content []byte) (*pipelinerun.RunView, error) {
	var run pipelinerun.RunView
	query := url.Values{"id": {id}, "name": {name}}
	_, err := client.Call(ctx, http.MethodPost, "/pipelines?"+query.Encode(), content, &run)
	return &run, explainRefusal(file, err)
}

// explainRefusal prints the problems for which a controller refused a file. Other errors are
// returned, as they are or in clearer words.
func explainRefusal(file string, err error) error {
	if problems, notices := problemsIn(err); len(problems) > 0 {
		printProblems(file, problems, notices)
		return &exitError{exitUsage}
	}
	var statusError *apiclient.StatusError
	if errors.As(err, &statusError) && statusError.Code == http.StatusNotFound {
		return errors.New("this deployment does not run pipeline files")
	}
	return err
}

// problemsIn returns the problems of a file that a controller refused, none if err is something
// else.
func problemsIn(err error) (problems, notices pipeline.Problems) {
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
	ID    string `arg:"" help:"The run."`
	Watch bool   `help:"Wait until it is over."`
	JSON  bool   `help:"Print JSON."`
}

// Run prints the status of a run, and waits for it with --watch.
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
	return runExitStatus(run)
}

func getRun(ctx context.Context, client *apiclient.Client, id string) (*pipelinerun.RunView, error) {
	var run pipelinerun.RunView
	if _, err := client.Call(ctx, http.MethodGet, "/pipelines/"+id, nil, &run); err != nil {
		return nil, fmt.Errorf("%s: %w", id, err)
	}
	return &run, nil
}

// runExitStatus returns the exit status for a run that has ended.
func runExitStatus(run *pipelinerun.RunView) error {
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
	ID    string `arg:"" help:"The run."`
	Drain bool   `help:"Let jobs end that are not interruptible."`
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
	ID   string `arg:"" help:"The run."`
	Job  string `arg:"" help:"The job."`
	JSON bool   `help:"Print JSON."`
}

// Run starts the manual job.
func (c pipelinePlayCmd) Run(ctx context.Context) error {
	return c.changeRun(ctx, "/pipelines/"+c.ID+"/play?"+url.Values{"job": {c.Job}}.Encode(), c.JSON)
}

// changeRun requests a change of a run and prints the run.
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
		took := ""
		if run.EndedAtMS > 0 {
			took = runDuration(&run).Round(time.Second).String()
		}
		fmt.Fprintf(&lines, "%s\t%s\t%s\t%s\t%s\n", run.ID, run.Name, run.Status, time.UnixMilli(run.AcceptedAtMS).Format(time.DateTime), took)
	}
	return printTable(lines.String())
}

// runDuration is the time that an ended run took.
func runDuration(run *pipelinerun.RunView) time.Duration {
	return time.Duration(run.EndedAtMS-run.AcceptedAtMS) * time.Millisecond
}

type pipelineSchemaCmd struct{}

// Run prints the schema.
func (pipelineSchemaCmd) Run() error {
	schema, err := pipeline.Schema()
	if err != nil {
		return err
	}
	fmt.Println(string(schema))
	return nil
}
