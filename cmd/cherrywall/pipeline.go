package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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
	"cherrywall/internal/tuning"
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

type pipelineScheduleCmd struct {
	Set    scheduleSetCmd    `cmd:"" help:"Run a file by the calendar; a schedule of the same name is replaced."`
	List   scheduleListCmd   `cmd:"" help:"List the schedules."`
	Remove scheduleRemoveCmd `cmd:"" help:"End a schedule; its runs go on."`
}

type scheduleSetCmd struct {
	controllerFlags
	Name string `arg:"" help:"The schedule's name."`
	File string `arg:"" help:"The pipeline file, - for the standard input."`
	Cron string `required:"" help:"Minute, hour, day, month, day of the week: '30 17 * * 1-5'; or @daily and the like."`
	Zone string `required:"" help:"Time zone: Europe/Zurich."`
	JSON bool   `help:"Print JSON."`
}

func (c scheduleSetCmd) Run() error {
	raw, err := readFile(c.File)
	if err != nil {
		return err
	}
	var schedule pipelinerun.ScheduleView
	query := url.Values{"cron": {c.Cron}, "zone": {c.Zone}}
	_, err = apiclient.New(c.Addr...).Call(context.Background(), http.MethodPut, "/schedules/"+url.PathEscape(c.Name)+"?"+query.Encode(), raw, &schedule)
	if err != nil {
		return refusedFile(c.File, err)
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

func (c scheduleListCmd) Run() error {
	var all struct {
		Schedules []pipelinerun.ScheduleView `json:"schedules"`
	}
	if err := c.call(http.MethodGet, "/schedules", nil, &all); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(all.Schedules)
	}
	return printTable(func(w io.Writer) {
		fmt.Fprintln(w, "SCHEDULE\tCRON\tZONE\tNEXT\tLAST RUN")
		for _, schedule := range all.Schedules {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", schedule.Name, schedule.Cron, schedule.Zone, time.UnixMilli(schedule.NextAtMS).Format(time.DateTime), schedule.LastRun)
		}
	})
}

type scheduleRemoveCmd struct {
	controllerFlags
	Name string `arg:"" help:"The schedule's name."`
}

func (c scheduleRemoveCmd) Run() error {
	return c.call(http.MethodDelete, "/schedules/"+url.PathEscape(c.Name), nil, nil)
}

type pipelineCheckCmd struct {
	controllerFlags
	File string `arg:"" help:"The pipeline file, - for the standard input."`
	JSON bool   `help:"Print JSON."`
}

// printProblems prints what is wrong and what is only worth knowing.
func printProblems(file string, wrong, notices pipeline.Problems) {
	for _, p := range notices {
		fmt.Fprintf(os.Stderr, "%s:%s (left out)\n", file, p)
	}
	for _, p := range wrong {
		fmt.Fprintf(os.Stderr, "%s:%s\n", file, p)
	}
}

func (c pipelineCheckCmd) Run() error {
	raw, err := readFile(c.File)
	if err != nil {
		return err
	}
	plan, notices, err := pipeline.Parse(raw, nil, nil)
	var wrong pipeline.Problems
	if err != nil && !errors.As(err, &wrong) {
		return err
	}
	if len(wrong) == 0 && len(c.Addr) > 0 {
		_, err := apiclient.New(c.Addr...).Call(context.Background(), http.MethodPost, "/check/pipeline", raw, nil)
		if wrong, _ = problemsIn(err); err != nil && len(wrong) == 0 {
			return err
		}
	}
	if c.JSON {
		if err := printJSON(map[string]any{"errors": wrong, "notices": notices}); err != nil {
			return err
		}
	} else {
		printProblems(c.File, wrong, notices)
	}
	if len(wrong) > 0 {
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

func (c pipelineRunCmd) Run() error {
	raw, err := readFile(c.File)
	if err != nil {
		return err
	}
	id := cmp.Or(c.ID, newID("run"))
	name := cmp.Or(c.Name, strings.TrimSuffix(filepath.Base(c.File), filepath.Ext(c.File)))
	api := apiclient.New(c.Addr...)
	run, err := startRun(api, id, name, c.File, raw)
	if err != nil {
		return err
	}
	if c.Watch {
		return watchRun(api, id, c.JSON)
	}
	if c.JSON {
		return printJSON(run)
	}
	fmt.Println(run.ID, run.Status)
	return nil
}

// startRun has a file run.
func startRun(api *apiclient.Client, id, name, file string, raw []byte) (*pipelinerun.RunView, error) {
	var run pipelinerun.RunView
	query := url.Values{"id": {id}, "name": {name}}
	_, err := api.Call(context.Background(), http.MethodPost, "/pipelines?"+query.Encode(), raw, &run)
	return &run, refusedFile(file, err)
}

// refusedFile puts a refusal into words for the one who wrote the file.
func refusedFile(file string, err error) error {
	if wrong, notices := problemsIn(err); len(wrong) > 0 {
		printProblems(file, wrong, notices)
		return &exitError{exitUsage}
	}
	var refused *apiclient.StatusError
	if errors.As(err, &refused) && refused.Code == http.StatusNotFound {
		return errors.New("this deployment does not run pipeline files")
	}
	return err
}

// problemsIn is what a controller found wrong with a file, none if err is something else.
func problemsIn(err error) (wrong, notices pipeline.Problems) {
	var refused *apiclient.StatusError
	var said struct{ Errors, Notices pipeline.Problems }
	if errors.As(err, &refused) && json.Unmarshal(refused.Body, &said) == nil {
		return said.Errors, said.Notices
	}
	return nil, nil
}

type pipelineStatusCmd struct {
	controllerFlags
	ID    string `arg:"" help:"The run."`
	Watch bool   `help:"Wait until it is over."`
	JSON  bool   `help:"Print JSON."`
}

func (c pipelineStatusCmd) Run() error {
	api := apiclient.New(c.Addr...)
	if c.Watch {
		return watchRun(api, c.ID, c.JSON)
	}
	run, err := getRun(api, c.ID)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(run)
	}
	fmt.Print(renderTree(run))
	return runExitStatus(run)
}

func getRun(api *apiclient.Client, id string) (*pipelinerun.RunView, error) {
	var run pipelinerun.RunView
	if _, err := api.Call(context.Background(), http.MethodGet, "/pipelines/"+id, nil, &run); err != nil {
		return nil, fmt.Errorf("%s: %w", id, err)
	}
	return &run, nil
}

// runExitStatus is the exit status of a run that is over.
func runExitStatus(run *pipelinerun.RunView) error {
	switch run.Status {
	case pipelineexec.RunFailed:
		return &exitError{exitFailed}
	case pipelineexec.RunCancelled:
		return &exitError{exitCancelled}
	}
	return nil
}

// watchRun shows a run until it is over: a tree that lives on a terminal, a line for each
// change elsewhere.
func watchRun(api *apiclient.Client, id string, asJSON bool) error {
	w := &watcher{live: terminal() && !asJSON, lastShown: map[string]string{}}
	for {
		run, err := getRun(api, id)
		if err != nil {
			return err
		}
		if !asJSON {
			w.show(os.Stdout, run)
		} else if err := printJSONLine(run); err != nil {
			return err
		}
		if run.IsFinished {
			return runExitStatus(run)
		}
		time.Sleep(tuning.CLIPollInterval)
	}
}

// watcher remembers what was shown.
type watcher struct {
	live      bool
	treeLines int // of the tree on the screen
	lastShown map[string]string
}

func (w *watcher) show(out io.Writer, run *pipelinerun.RunView) {
	if w.live {
		text := renderTree(run)
		if w.treeLines > 0 {
			fmt.Fprintf(out, "\x1b[%dA\x1b[J", w.treeLines) // over the last one
		}
		fmt.Fprint(out, text)
		w.treeLines = strings.Count(text, "\n")
		return
	}
	for _, job := range run.Jobs {
		if now := describeJob(job); now != w.lastShown[job.Name] {
			w.lastShown[job.Name] = now
			fmt.Fprintf(out, "%s  %s: %s\n", time.Now().Format(time.TimeOnly), job.Name, now)
		}
	}
	if run.Status != w.lastShown[""] {
		w.lastShown[""] = run.Status
		fmt.Fprintf(out, "%s  run %s: %s\n", time.Now().Format(time.TimeOnly), run.ID, run.Status)
	}
}

// describeJob tell how a job stands.
func describeJob(job pipelinerun.JobView) string {
	out := job.Status
	if job.Reason != "" {
		out += " (" + job.Reason + ")"
	}
	if job.RunningTasks > 0 || job.Status == "running" && job.DoneTasks > 0 {
		out += fmt.Sprintf(", %d of %d tasks done, %d running", job.DoneTasks, job.Tasks, job.RunningTasks)
	}
	if job.Attempt > 0 {
		out += fmt.Sprintf(", retry %d of %d", job.Attempt, job.Retries)
	}
	return out
}

var statusMarks = map[string]string{"success": "✔", "failed": "✘", "canceled": "⊘", "skipped": "–", "running": "▶", "stopping": "■",
	"manual": "⏸", "delayed": "⏱", "waiting": "·"}

// renderTree draws a run by its stages.
func renderTree(run *pipelinerun.RunView) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s, %d of %d jobs ended\n", run.ID, run.Name, run.Status, run.Ended, len(run.Jobs))
	for _, stage := range slices.Concat([]string{".pre"}, run.Stages, []string{".post"}) {
		var in []pipelinerun.JobView
		for _, job := range run.Jobs {
			if job.Stage == stage {
				in = append(in, job)
			}
		}
		if len(in) == 0 {
			continue
		}
		fmt.Fprintf(&b, "├─ %s\n", stage)
		for _, job := range in {
			fmt.Fprintf(&b, "│  %s %s: %s\n", statusMarks[job.Status], job.Name, describeJob(job))
		}
	}
	return b.String()
}

type pipelineGraphCmd struct {
	File string `arg:"" help:"The pipeline file, - for the standard input."`
	DOT  bool   `name:"dot" help:"Print it in Graphviz's language."`
}

func (c pipelineGraphCmd) Run() error {
	raw, err := readFile(c.File)
	if err != nil {
		return err
	}
	plan, notices, err := pipeline.Parse(raw, nil, nil)
	var wrong pipeline.Problems
	if errors.As(err, &wrong) {
		printProblems(c.File, wrong, notices)
		return &exitError{exitUsage}
	}
	if err != nil {
		return err
	}
	fmt.Print(renderGraph(plan, c.DOT))
	return nil
}

func renderGraph(plan *pipeline.Plan, dot bool) string {
	var b strings.Builder
	if dot {
		b.WriteString("digraph pipeline {\n  rankdir=LR;\n")
	}
	for _, j := range plan.Jobs {
		var after []string
		for _, n := range j.Needs {
			after = append(after, plan.Jobs[n].Name)
			if dot {
				fmt.Fprintf(&b, "  %q -> %q;\n", plan.Jobs[n].Name, j.Name)
			}
		}
		if j.Staged {
			for _, o := range plan.Jobs {
				if o.Stage < j.Stage && dot {
					fmt.Fprintf(&b, "  %q -> %q [style=dashed];\n", o.Name, j.Name)
				}
			}
			if j.Stage > 1 {
				after = append(after, "all before stage "+plan.Stages[j.Stage])
			}
		}
		if dot {
			fmt.Fprintf(&b, "  %q;\n", j.Name)
			continue
		}
		fmt.Fprintf(&b, "%s (%s, %s)", j.Name, plan.Stages[j.Stage], j.When)
		if len(after) > 0 {
			fmt.Fprintf(&b, " after %s", strings.Join(after, ", "))
		}
		b.WriteByte('\n')
	}
	if dot {
		b.WriteString("}\n")
	}
	return b.String()
}

type pipelineCancelCmd struct {
	controllerFlags
	ID    string `arg:"" help:"The run."`
	Drain bool   `help:"Let jobs end that are not interruptible."`
	JSON  bool   `help:"Print JSON."`
}

func (c pipelineCancelCmd) Run() error {
	path := "/pipelines/" + c.ID + "/cancel"
	if c.Drain {
		path += "?drain=1"
	}
	return c.postAndPrint(path, c.JSON)
}

type pipelinePlayCmd struct {
	controllerFlags
	ID   string `arg:"" help:"The run."`
	Job  string `arg:"" help:"The job."`
	JSON bool   `help:"Print JSON."`
}

func (c pipelinePlayCmd) Run() error {
	return c.postAndPrint("/pipelines/"+c.ID+"/play?"+url.Values{"job": {c.Job}}.Encode(), c.JSON)
}

// postAndPrint asks for a change of a run and tells how it stands then.
func (t controllerFlags) postAndPrint(path string, asJSON bool) error {
	var run pipelinerun.RunView
	if err := t.call(http.MethodPost, path, nil, &run); err != nil {
		return err
	}
	if asJSON {
		return printJSON(run)
	}
	fmt.Println(run.ID, run.Status)
	return nil
}

type pipelineListCmd struct {
	controllerFlags
	JSON bool `help:"Print JSON."`
}

func (c pipelineListCmd) Run() error {
	var all struct {
		Runs []pipelinerun.RunView `json:"runs"`
	}
	if err := c.call(http.MethodGet, "/pipelines", nil, &all); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(all.Runs)
	}
	slices.SortFunc(all.Runs, func(x, y pipelinerun.RunView) int { return cmp.Compare(y.AcceptedAtMS, x.AcceptedAtMS) })
	return printTable(func(w io.Writer) {
		fmt.Fprintln(w, "RUN\tNAME\tSTATUS\tACCEPTED\tTOOK")
		for _, run := range all.Runs {
			took := ""
			if run.EndedAtMS > 0 {
				took = (time.Duration(run.EndedAtMS-run.AcceptedAtMS) * time.Millisecond).Round(time.Second).String()
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", run.ID, run.Name, run.Status, time.UnixMilli(run.AcceptedAtMS).Format(time.DateTime), took)
		}
	})
}

type pipelineSchemaCmd struct{}

func (pipelineSchemaCmd) Run() error {
	raw, err := pipeline.Schema()
	if err != nil {
		return err
	}
	fmt.Println(string(raw))
	return nil
}
