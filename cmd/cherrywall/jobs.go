package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"cherrywall/internal/apiclient"
	"cherrywall/internal/diagnostics"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// jobStatus is the status of a job in the protocol of the platform.
type jobStatus struct {
	Ref     string `json:"ref"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// String returns the job's status in one line.
func (s jobStatus) String() string {
	return fmt.Sprintf("%s %s, %d tasks done, %d running", s.Ref, s.Status, s.Done, s.Running)
}

type watchCmd struct {
	controllerFlags
	IDs  []string `arg:"" name:"id" help:"Ids of the jobs to wait for."`
	JSON bool     `help:"Print JSON lines."`
}

// Run prints each change of the jobs' statuses until all jobs have ended.
func (c watchCmd) Run(ctx context.Context) error { return watchJobs(ctx, c.client(), c.IDs, c.JSON) }

// watchJobs prints each change of the jobs' statuses until all jobs have ended. It returns an
// exitError with exitCancelled if one of the jobs was cancelled.
func watchJobs(ctx context.Context, client *apiclient.Client, ids []string, asJSON bool) error {
	lastShown := map[string]jobStatus{}
	anyCancelled := false
	for len(ids) > 0 {
		var unfinishedIDs []string
		for _, id := range ids {
			var status jobStatus
			if _, err := client.Call(ctx, http.MethodGet, "/submissions/"+id, nil, &status); err != nil {
				return fmt.Errorf("%s: %w", id, err)
			}
			if status != lastShown[id] {
				lastShown[id] = status
				if err := status.print(asJSON); err != nil {
					return err
				}
			}
			switch jobs.Status(status.Status) {
			case jobs.Done:
			case jobs.Cancelled:
				anyCancelled = true
			default:
				unfinishedIDs = append(unfinishedIDs, id)
			}
		}
		ids = unfinishedIDs
		if len(ids) > 0 {
			time.Sleep(tuning.CLIPollInterval)
		}
	}
	if anyCancelled {
		return &exitError{exitCancelled}
	}
	return nil
}

// print prints the job's status in one line.
func (s jobStatus) print(asJSON bool) error {
	if asJSON {
		return printJSONLine(s)
	}
	fmt.Println(s)
	return nil
}

type cancelCmd struct {
	controllerFlags
	IDs  []string `arg:"" name:"id" help:"Ids of the jobs to cancel."`
	JSON bool     `help:"Print JSON lines."`
}

// Run cancels the jobs.
func (c cancelCmd) Run(ctx context.Context) error {
	client := c.client()
	for _, id := range c.IDs {
		var status jobStatus
		if _, err := client.Call(ctx, http.MethodPost, "/submissions/"+id+"/withdraw", nil, &status); err != nil {
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

// Run lists the unfinished jobs.
func (c jobsCmd) Run(ctx context.Context) error {
	var unfinishedJobs []diagnostics.JobView
	if err := c.call(ctx, http.MethodGet, "/admin/v1/jobs", nil, &unfinishedJobs); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(unfinishedJobs)
	}
	var lines strings.Builder
	lines.WriteString("JOB\tCLASS\tTEAM\tPRIORITY\tTASKS\tDONE\tRUNNING\tUNCLAIMED\tWHY IT WAITS\n")
	for _, job := range unfinishedJobs {
		fmt.Fprintf(&lines, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", job.Job, job.Class, job.Team, job.Priority,
			job.Tasks, job.Done, job.Running, job.UnclaimedTasks, job.WaitReason)
	}
	return printTable(lines.String())
}

type whyCmd struct {
	controllerFlags
	Job string `arg:"" help:"Id of the job."`
}

// Run prints an unfinished job with the reason why it waits.
func (c whyCmd) Run(ctx context.Context) error {
	var unfinishedJobs []map[string]any
	if err := c.call(ctx, http.MethodGet, "/admin/v1/jobs", nil, &unfinishedJobs); err != nil {
		return err
	}
	for _, job := range unfinishedJobs {
		if job["job"] == c.Job {
			return printJSON(job)
		}
	}
	return fmt.Errorf("%s: no unfinished job has this id", c.Job)
}
