package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"cherrywall/internal/apiclient"
	"cherrywall/internal/diagnostics"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// newID is an id that nobody else is likely to choose.
func newID(prefix string) string { return jobs.NumberedRef(prefix, rand.Uint64()) }

// terminal tells whether people read the output.
func terminal() bool {
	st, err := os.Stdout.Stat()
	return err == nil && st.Mode()&os.ModeCharDevice != 0
}

// printTable prints lines in columns.
func printTable(lines func(w io.Writer)) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	lines(w)
	return w.Flush()
}

type submitCmd struct {
	controllerFlags
	File     string   `help:"JSON file with the submission as the protocol has it; flags that are given go before it." type:"existingfile" placeholder:"FILE"`
	ID       string   `help:"The job's id; one is made up if left out. Asked again with the same id, a job is submitted once."`
	Class    string   `help:"Class of jobs."`
	Team     string   `help:"Team it runs for."`
	Kind     string   `help:"array, gang or service." enum:"array,gang,service," default:""`
	Priority string   `help:"idle, normal, high or prod." enum:"idle,normal,high,prod," default:""`
	Tasks    int      `help:"Number of tasks."`
	CPUs     float64  `name:"cpus" help:"CPUs of each task."`
	GPUs     float64  `name:"gpus" help:"GPUs of each task."`
	MemoryGB float64  `name:"memory-gb" help:"Memory of each task."`
	Image    string   `help:"Image that the tasks run."`
	Types    []string `help:"Machine types; any if left out."`
	Zone     string   `help:"The only zone; any if left out."`
	Spot     bool     `help:"Allow cheap machines that may be taken back."`
	Estimate float64  `help:"Expected run time of a task, seconds."`
	After    []string `help:"Jobs that have to be done before it starts; their ids." placeholder:"ID"`
	Due      float64  `help:"When it should be done, seconds from now."`
	Watch    bool     `help:"Wait until it is over."`
	JSON     bool     `help:"Print JSON."`
}

func (c submitCmd) spec() (jobs.Spec, error) {
	s := jobs.Spec{Urgency: "normal", Kind: jobs.Array, Tasks: 1}
	if c.File != "" {
		raw, err := os.ReadFile(c.File)
		if err != nil {
			return s, err
		}
		if err := json.Unmarshal(raw, &s); err != nil {
			return s, &usageError{fmt.Errorf("%s: %w", c.File, err)}
		}
	}
	for _, x := range []struct {
		to   *string
		from string
	}{{&s.Ref, c.ID}, {&s.Class, c.Class}, {&s.Team, c.Team}, {&s.Urgency, c.Priority}, {&s.Image, c.Image},
		{&s.Kind, map[string]string{"array": jobs.Array, "gang": jobs.Gang, "service": jobs.Service}[c.Kind]}} {
		if x.from != "" {
			*x.to = x.from
		}
	}
	for _, x := range []struct {
		to   *float64
		from float64
	}{{&s.CPU, c.CPUs}, {&s.GPU, c.GPUs}, {&s.MemGB, c.MemoryGB}, {&s.EstimatedRunSeconds, c.Estimate}} {
		if x.from != 0 {
			*x.to = x.from
		}
	}
	if c.Tasks != 0 {
		s.Tasks = c.Tasks
	}
	if c.Types != nil {
		s.MachineTypes = c.Types
	}
	if c.Zone != "" {
		s.Zone = &c.Zone
	}
	if c.After != nil {
		s.DependsOn = c.After
	}
	if c.Due != 0 {
		s.DeadlineSeconds = &c.Due
	}
	s.Spot = s.Spot || c.Spot
	if s.Ref == "" {
		s.Ref = newID("cli")
	}
	return s, nil
}

func (c submitCmd) Run() error {
	s, err := c.spec()
	if err != nil {
		return err
	}
	raw, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode job: %w", err)
	}
	if _, err := jobs.ParseSpec(raw); err != nil {
		return &usageError{fmt.Errorf("job: %w", err)}
	}
	api := apiclient.New(c.Addr...)
	var status jobStatus
	if _, err := api.Call(context.Background(), http.MethodPost, "/submissions", raw, &status); err != nil {
		return fmt.Errorf("%s: %w", s.Ref, err)
	}
	if !c.Watch {
		if c.JSON {
			return printJSON(status)
		}
		fmt.Println(status.Ref, status.Status)
		return nil
	}
	return watchJobs(api, []string{s.Ref}, c.JSON)
}

// jobStatus is a job as the protocol tells it.
type jobStatus struct {
	Ref     string `json:"ref"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

func (status jobStatus) String() string {
	return fmt.Sprintf("%s %s, %d tasks done, %d running", status.Ref, status.Status, status.Done, status.Running)
}

type watchCmd struct {
	controllerFlags
	IDs  []string `arg:"" name:"id" help:"Jobs to wait for."`
	JSON bool     `help:"Print JSON lines."`
}

func (c watchCmd) Run() error { return watchJobs(apiclient.New(c.Addr...), c.IDs, c.JSON) }

// watchJobs waits until all jobs are over and tells each change.
func watchJobs(api *apiclient.Client, ids []string, asJSON bool) error {
	last := map[string]jobStatus{}
	code := 0
	for len(ids) > 0 {
		var open []string
		for _, id := range ids {
			var status jobStatus
			if _, err := api.Call(context.Background(), http.MethodGet, "/submissions/"+id, nil, &status); err != nil {
				return fmt.Errorf("%s: %w", id, err)
			}
			if status != last[id] {
				last[id] = status
				if !asJSON {
					fmt.Println(status)
				} else if err := printJSONLine(status); err != nil {
					return err
				}
			}
			switch status.Status {
			case jobs.Done:
			case jobs.Cancelled:
				code = exitCancelled
			default:
				open = append(open, id)
			}
		}
		if ids = open; len(ids) > 0 {
			time.Sleep(tuning.CLIPollInterval)
		}
	}
	if code != 0 {
		return &exitError{code}
	}
	return nil
}

type cancelCmd struct {
	controllerFlags
	IDs  []string `arg:"" name:"id" help:"Jobs to cancel."`
	JSON bool     `help:"Print JSON lines."`
}

func (c cancelCmd) Run() error {
	api := apiclient.New(c.Addr...)
	for _, id := range c.IDs {
		var status jobStatus
		if _, err := api.Call(context.Background(), http.MethodPost, "/submissions/"+id+"/withdraw", nil, &status); err != nil {
			return fmt.Errorf("%s: %w", id, err)
		}
		if !c.JSON {
			fmt.Println(status.Ref, status.Status)
		} else if err := printJSONLine(status); err != nil {
			return err
		}
	}
	return nil
}

type jobsCmd struct {
	controllerFlags
	JSON bool `help:"Print JSON."`
}

func (c jobsCmd) Run() error {
	var all []diagnostics.JobView
	if err := c.call(http.MethodGet, "/admin/v1/jobs", nil, &all); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(all)
	}
	return printTable(func(w io.Writer) {
		fmt.Fprintln(w, "JOB\tCLASS\tTEAM\tPRIORITY\tTASKS\tDONE\tRUNNING\tUNCLAIMED\tWHY IT WAITS")
		for _, job := range all {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", job.Job, job.Class, job.Team, job.Priority, job.Tasks, job.Done, job.Running, job.UnclaimedTasks, job.WaitReason)
		}
	})
}

// readFile reads a file, "-" is the standard input.
func readFile(name string) ([]byte, error) {
	if name == "-" {
		raw, err := io.ReadAll(os.Stdin)
		return bytes.TrimPrefix(raw, []byte("\ufeff")), err
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return nil, &usageError{err}
	}
	return raw, nil
}
