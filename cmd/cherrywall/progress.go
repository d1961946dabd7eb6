package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"cherrywall/internal/apiclient"
	"cherrywall/internal/pipelineexec"
	"cherrywall/internal/pipelinerun"
	"cherrywall/internal/tuning"
)

// watchRun shows a pipeline run until it has ended: on a terminal as a tree that is redrawn, and
// otherwise as a line for each change.
func watchRun(ctx context.Context, client *apiclient.Client, id string, asJSON bool) error {
	display := newProgressDisplay(isTerminal() && !asJSON)
	for {
		run, err := getRun(ctx, client, id)
		if err != nil {
			return err
		}
		if !asJSON {
			fmt.Print(display.update(run))
		} else if err := printJSONLine(run); err != nil {
			return err
		}
		if run.IsFinished {
			return runExitStatus(run)
		}
		time.Sleep(tuning.CLIPollInterval)
	}
}

// progressDisplay shows the progress of a pipeline run.
type progressDisplay struct {
	redraws   bool              // a tree that is redrawn, instead of a line for each change
	treeLines int               // height of the tree on the screen
	shown     map[string]string // last description by job; that of the run is under ""
}

func newProgressDisplay(redraws bool) *progressDisplay {
	return &progressDisplay{redraws: redraws, shown: map[string]string{}}
}

// update returns the text to print for the present state of the run.
func (d *progressDisplay) update(run *pipelinerun.RunView) string {
	if d.redraws {
		return d.redraw(run)
	}
	return d.changes(run)
}

// redraw returns the tree, after the codes that erase the last one.
func (d *progressDisplay) redraw(run *pipelinerun.RunView) string {
	tree := renderTree(run)
	erase := ""
	if d.treeLines > 0 {
		erase = fmt.Sprintf("\x1b[%dA\x1b[J", d.treeLines)
	}
	d.treeLines = strings.Count(tree, "\n")
	return erase + tree
}

// changes returns a line for each job that changed, and for the run.
func (d *progressDisplay) changes(run *pipelinerun.RunView) string {
	var lines strings.Builder
	for _, job := range run.Jobs {
		if description := describeJob(job); description != d.shown[job.Name] {
			d.shown[job.Name] = description
			fmt.Fprintf(&lines, "%s  %s: %s\n", time.Now().Format(time.TimeOnly), job.Name, description)
		}
	}
	if status := string(run.Status); status != d.shown[""] {
		d.shown[""] = status
		fmt.Fprintf(&lines, "%s  run %s: %s\n", time.Now().Format(time.TimeOnly), run.ID, run.Status)
	}
	return lines.String()
}

// describeJob returns the status of a job with its reason and progress.
func describeJob(job pipelinerun.JobView) string {
	text := string(job.Status)
	if job.Reason != "" {
		text += " (" + job.Reason + ")"
	}
	if job.RunningTasks > 0 || job.Status == pipelineexec.NameActive && job.DoneTasks > 0 {
		text += fmt.Sprintf(", %d of %d tasks done, %d running", job.DoneTasks, job.Tasks, job.RunningTasks)
	}
	if job.Attempt > 0 {
		text += fmt.Sprintf(", retry %d of %d", job.Attempt, job.Retries)
	}
	return text
}

// statusMarks are the marks of jobs in the tree, by status.
var statusMarks = map[pipelineexec.StatusName]string{
	pipelineexec.NameSucceeded: "✔",
	pipelineexec.NameFailed:    "✘",
	pipelineexec.NameCancelled: "⊘",
	pipelineexec.NameSkipped:   "–",
	pipelineexec.NameActive:    "▶",
	pipelineexec.NameStopping:  "■",
	pipelineexec.NameManual:    "⏸",
	pipelineexec.NameDelayed:   "⏱",
	pipelineexec.NameWaiting:   "·",
}

// renderTree returns a run as a tree of its stages and jobs.
func renderTree(run *pipelinerun.RunView) string {
	var tree strings.Builder
	fmt.Fprintf(&tree, "%s %s: %s, %d of %d jobs ended\n", run.ID, run.Name, run.Status, run.Ended, len(run.Jobs))
	for _, stage := range slices.Concat([]string{".pre"}, run.Stages, []string{".post"}) {
		var jobsOfStage []pipelinerun.JobView
		for _, job := range run.Jobs {
			if job.Stage == stage {
				jobsOfStage = append(jobsOfStage, job)
			}
		}
		if len(jobsOfStage) == 0 {
			continue
		}
		fmt.Fprintf(&tree, "├─ %s\n", stage)
		for _, job := range jobsOfStage {
			fmt.Fprintf(&tree, "│  %s %s: %s\n", statusMarks[job.Status], job.Name, describeJob(job))
		}
	}
	return tree.String()
}
