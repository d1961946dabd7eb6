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

	"cherrywall/internal/client"
	"cherrywall/internal/jobs"
	"cherrywall/internal/placement"
	"cherrywall/internal/tuning"
)

// newID is an id that nobody else is likely to choose.
func newID(prefix string) string { return jobs.Numbered(prefix, rand.Uint64()) }

// terminal tells whether people read the output.
func terminal() bool {
	st, err := os.Stdout.Stat()
	return err == nil && st.Mode()&os.ModeCharDevice != 0
}

// table prints lines in columns.
func table(lines func(w io.Writer)) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	lines(w)
	return w.Flush()
}

type submitCmd struct {
	target
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
			return s, &settingsError{fmt.Errorf("%s: %w", c.File, err)}
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
	}{{&s.CPU, c.CPUs}, {&s.GPU, c.GPUs}, {&s.MemGB, c.MemoryGB}, {&s.EstimateS, c.Estimate}} {
		if x.from != 0 {
			*x.to = x.from
		}
	}
	if c.Tasks != 0 {
		s.Tasks = c.Tasks
	}
	if c.Types != nil {
		s.Builds = c.Types
	}
	if c.Zone != "" {
		s.Zone = &c.Zone
	}
	if c.After != nil {
		s.Awaits = c.After
	}
	if c.Due != 0 {
		s.DueS = &c.Due
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
	if _, err := jobs.Parse(raw); err != nil {
		return &settingsError{fmt.Errorf("job: %w", err)}
	}
	cl := client.New(c.Addr...)
	var a answer
	if _, err := cl.Call(context.Background(), http.MethodPost, "/submissions", raw, &a); err != nil {
		return fmt.Errorf("%s: %w", s.Ref, err)
	}
	if !c.Watch {
		if c.JSON {
			return show(a)
		}
		fmt.Println(a.Ref, a.Status)
		return nil
	}
	return watchJobs(cl, []string{s.Ref}, c.JSON)
}

// answer is a job as the protocol tells it.
type answer struct {
	Ref     string `json:"ref"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

func (a answer) String() string {
	return fmt.Sprintf("%s %s, %d tasks done, %d running", a.Ref, a.Status, a.Done, a.Running)
}

type watchCmd struct {
	target
	IDs  []string `arg:"" name:"id" help:"Jobs to wait for."`
	JSON bool     `help:"Print JSON lines."`
}

func (c watchCmd) Run() error { return watchJobs(client.New(c.Addr...), c.IDs, c.JSON) }

// watchJobs waits until all jobs are over and tells each change.
func watchJobs(cl *client.Client, ids []string, asJSON bool) error {
	last := map[string]answer{}
	code := 0
	for len(ids) > 0 {
		var open []string
		for _, id := range ids {
			var a answer
			if _, err := cl.Call(context.Background(), http.MethodGet, "/submissions/"+id, nil, &a); err != nil {
				return fmt.Errorf("%s: %w", id, err)
			}
			if a != last[id] {
				last[id] = a
				if !asJSON {
					fmt.Println(a)
				} else if err := line(a); err != nil {
					return err
				}
			}
			switch a.Status {
			case jobs.Done:
			case jobs.Cancelled:
				code = exitCancel
			default:
				open = append(open, id)
			}
		}
		if ids = open; len(ids) > 0 {
			time.Sleep(tuning.WatchEvery)
		}
	}
	if code != 0 {
		return &exitError{code}
	}
	return nil
}

type cancelCmd struct {
	target
	IDs  []string `arg:"" name:"id" help:"Jobs to cancel."`
	JSON bool     `help:"Print JSON lines."`
}

func (c cancelCmd) Run() error {
	cl := client.New(c.Addr...)
	for _, id := range c.IDs {
		var a answer
		if _, err := cl.Call(context.Background(), http.MethodPost, "/submissions/"+id+"/withdraw", nil, &a); err != nil {
			return fmt.Errorf("%s: %w", id, err)
		}
		if !c.JSON {
			fmt.Println(a.Ref, a.Status)
		} else if err := line(a); err != nil {
			return err
		}
	}
	return nil
}

type jobsCmd struct {
	target
	JSON bool `help:"Print JSON."`
}

func (c jobsCmd) Run() error {
	var all []placement.JobView
	if err := c.call(http.MethodGet, "/admin/v1/jobs", nil, &all); err != nil {
		return err
	}
	if c.JSON {
		return show(all)
	}
	return table(func(w io.Writer) {
		fmt.Fprintln(w, "JOB\tCLASS\tTEAM\tPRIORITY\tTASKS\tDONE\tRUNNING\tUNCLAIMED\tWHY IT WAITS")
		for _, j := range all {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", j.Job, j.Class, j.Team, j.Priority, j.Tasks, j.Done, j.Running, j.Free, j.Why)
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
		return nil, &settingsError{err}
	}
	return raw, nil
}
