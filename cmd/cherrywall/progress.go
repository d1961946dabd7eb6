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

// watchRun shows a pipeline run until it has ended. On a terminal it shows a tree and redraws it;
// elsewhere it prints one line for each change. With asJSON it prints the whole run as a line of
// JSON at each poll.
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
			return runResultError(run)
		}
		time.Sleep(tuning.CLIPollInterval)
	}
}

// progressDisplay shows the progress of a pipeline run.
type progressDisplay struct {
	redrawsTree bool              // whether to show a tree that is redrawn, instead of a line for each change
	treeLines   int               // number of lines of the tree on the screen
	lastShown   map[string]string // last printed description by job name; the key "" is for the status of the run
}

func newProgressDisplay(redrawsTree bool) *progressDisplay {
	return &progressDisplay{redrawsTree: redrawsTree, lastShown: map[string]string{}}
}

// update returns the text to print for the current state of the run.
func (d *progressDisplay) update(run *pipelinerun.RunView) string {
	if d.redrawsTree {
		return d.redrawTree(run)
	}
	return d.formatChanges(run)
}

// redrawTree returns the tree of the run, preceded by the escape codes that erase the previous tree.
func (d *progressDisplay) redrawTree(run *pipelinerun.RunView) string {
	tree := renderTree(run)
	eraseCodes := ""
	if d.treeLines > 0 {
		eraseCodes = fmt.Sprintf("\x1b[%dA\x1b[J", d.treeLines)
	}
	d.treeLines = strings.Count(tree, "\n")
	return eraseCodes + tree
}

// formatChanges returns one line for each job that changed, and one for the run if its status changed.
func (d *progressDisplay) formatChanges(run *pipelinerun.RunView) string {
	var lines strings.Builder
	for _, job := range run.Jobs {
		if description := describeJob(job); description != d.lastShown[job.Name] {
			d.lastShown[job.Name] = description
			fmt.Fprintf(&lines, "%s  %s: %s\n", time.Now().Format(time.TimeOnly), job.Name, description)
		}
	}
	if status := string(run.Status); status != d.lastShown[""] {
		d.lastShown[""] = status
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

// statusSymbols are the symbols of the jobs in the tree, by status.
var statusSymbols = map[pipelineexec.StatusName]string{
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
		var stageJobs []pipelinerun.JobView
		for _, job := range run.Jobs {
			if job.Stage == stage {
				stageJobs = append(stageJobs, job)
			}
		}
		if len(stageJobs) == 0 {
			continue
		}
		fmt.Fprintf(&tree, "├─ %s\n", stage)
		for _, job := range stageJobs {
			fmt.Fprintf(&tree, "│  %s %s: %s\n", statusSymbols[job.Status], job.Name, describeJob(job))
		}
	}
	return tree.String()
}
