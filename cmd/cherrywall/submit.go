package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"

	"cherrywall/internal/jobs"
)

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

// kindsOfJobs maps the kinds of the command line to those of the protocol.
var kindsOfJobs = map[string]jobs.Kind{"array": jobs.Array, "gang": jobs.Gang, "service": jobs.Service}

// spec returns the job that the file and the flags describe. Flags take precedence.
func (c submitCmd) spec() (jobs.Spec, error) {
	spec := jobs.Spec{Urgency: "normal", Kind: jobs.Array, Tasks: 1}
	if c.File != "" {
		content, err := os.ReadFile(c.File)
		if err != nil {
			return spec, err
		}
		if err := json.Unmarshal(content, &spec); err != nil {
			return spec, &usageError{fmt.Errorf("%s: %w", c.File, jobs.DescribeDecodeError(err))}
		}
	}
	override(&spec.Ref, c.ID)
	override(&spec.Class, c.Class)
	override(&spec.Team, c.Team)
	override(&spec.Urgency, c.Priority)
	override(&spec.Image, c.Image)
	override(&spec.Kind, kindsOfJobs[c.Kind])
	override(&spec.CPU, c.CPUs)
	override(&spec.GPU, c.GPUs)
	override(&spec.MemGB, c.MemoryGB)
	override(&spec.EstimatedRunSeconds, c.Estimate)
	override(&spec.Tasks, c.Tasks)
	if c.Types != nil {
		spec.MachineTypes = c.Types
	}
	if c.Zone != "" {
		spec.Zone = &c.Zone
	}
	if c.After != nil {
		spec.DependsOn = c.After
	}
	if c.Due != 0 {
		spec.DeadlineSeconds = &c.Due
	}
	spec.Spot = spec.Spot || c.Spot
	if spec.Ref == "" {
		spec.Ref = newID("cli")
	}
	return spec, nil
}

// override sets a field to the value of a flag that was given.
func override[T comparable](field *T, flag T) {
	var notGiven T
	if flag != notGiven {
		*field = flag
	}
}

// Run submits the job, and waits for it with --watch.
func (c submitCmd) Run(ctx context.Context) error {
	spec, err := c.spec()
	if err != nil {
		return err
	}
	body, err := json.Marshal(spec)
	if err != nil {
		return fmt.Errorf("encode job: %w", err)
	}
	if _, err := jobs.ParseSpec(body); err != nil {
		return &usageError{fmt.Errorf("job: %w", err)}
	}
	client := c.client()
	var status jobStatus
	if _, err := client.Call(ctx, http.MethodPost, "/submissions", body, &status); err != nil {
		return fmt.Errorf("%s: %w", spec.Ref, err)
	}
	switch {
	case c.Watch:
		return watchJobs(ctx, client, []string{spec.Ref}, c.JSON)
	case c.JSON:
		return printJSON(status)
	}
	fmt.Println(status.Ref, status.Status)
	return nil
}
