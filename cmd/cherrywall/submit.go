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
	File     string   `help:"JSON file with the submission in the format of the protocol; flags override its fields." type:"existingfile" placeholder:"FILE"`
	ID       string   `help:"Id of the job; generated if omitted. Repeating the command with the same id does not submit a second job."`
	Class    string   `help:"Class of the job."`
	Team     string   `help:"Team that the job runs for."`
	Kind     string   `help:"Kind of the job: array, gang or service." enum:"array,gang,service," default:""`
	Priority string   `help:"Priority of the job: idle, normal, high or prod." enum:"idle,normal,high,prod," default:""`
	Tasks    int      `help:"Number of tasks."`
	CPUs     float64  `name:"cpus" help:"CPUs of each task."`
	GPUs     float64  `name:"gpus" help:"GPUs of each task."`
	MemoryGB float64  `name:"memory-gb" help:"Memory of each task in GB."`
	Image    string   `help:"Image that the tasks run."`
	Types    []string `help:"Machine types that the tasks may run on; any if omitted."`
	Zone     string   `help:"Only zone that the tasks may run in; any if omitted."`
	Spot     bool     `help:"Allow spot machines, which are cheaper but can be preempted by the cloud."`
	Estimate float64  `help:"Expected run time of a task in seconds."`
	After    []string `help:"Ids of the jobs that must be done before the job starts." placeholder:"ID"`
	Due      float64  `help:"Time by which the job should be done, in seconds from now."`
	Watch    bool     `help:"Wait until the job has ended."`
	JSON     bool     `help:"Print JSON."`
}

// jobKinds maps the kinds of jobs on the command line to those in the protocol.
var jobKinds = map[string]jobs.Kind{"array": jobs.Array, "gang": jobs.Gang, "service": jobs.Service}

// spec returns the job that the file and the flags describe. Flags take precedence over the file.
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
	override(&spec.Kind, jobKinds[c.Kind])
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

// override sets a field to the value of a flag, unless that is the zero value.
func override[T comparable](field *T, flag T) {
	var zero T
	if flag != zero {
		*field = flag
	}
}

// Run submits the job, and with --watch waits until it has ended.
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
