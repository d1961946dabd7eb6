package main

import (
	"errors"
	"fmt"
	"strings"

	"cherrywall/internal/pipeline"
)

type pipelineGraphCmd struct {
	File string `arg:"" help:"Pipeline file; - for the standard input."`
	DOT  bool   `name:"dot" help:"Print the graph in the DOT language of Graphviz."`
}

// Run prints the jobs of a pipeline file and their dependencies.
func (c pipelineGraphCmd) Run() error {
	content, err := readFile(c.File)
	if err != nil {
		return err
	}
	plan, notices, err := pipeline.Parse(content, nil, nil)
	var problems pipeline.Problems
	if errors.As(err, &problems) {
		printProblems(c.File, problems, notices)
		return &exitError{exitUsage}
	}
	if err != nil {
		return err
	}
	if c.DOT {
		fmt.Print(graphAsDOT(plan))
	} else {
		fmt.Print(graphAsText(plan))
	}
	return nil
}

// graphAsDOT returns the jobs of a plan and their dependencies in the DOT language of Graphviz. The
// edges of dependencies on earlier stages are dashed.
func graphAsDOT(plan *pipeline.Plan) string {
	var text strings.Builder
	text.WriteString("digraph pipeline {\n  rankdir=LR;\n")
	for _, job := range plan.Jobs {
		for _, index := range job.Needs {
			fmt.Fprintf(&text, "  %q -> %q;\n", plan.Jobs[index].Name, job.Name)
		}
		for _, other := range plan.Jobs {
			if job.WaitsForEarlierStages && other.Stage < job.Stage {
				fmt.Fprintf(&text, "  %q -> %q [style=dashed];\n", other.Name, job.Name)
			}
		}
		fmt.Fprintf(&text, "  %q;\n", job.Name)
	}
	text.WriteString("}\n")
	return text.String()
}

// graphAsText returns one line for each job of a plan, with its dependencies.
func graphAsText(plan *pipeline.Plan) string {
	var text strings.Builder
	for _, job := range plan.Jobs {
		var dependencies []string
		for _, index := range job.Needs {
			dependencies = append(dependencies, plan.Jobs[index].Name)
		}
		if job.WaitsForEarlierStages && job.Stage > 1 {
			dependencies = append(dependencies, "all before stage "+plan.Stages[job.Stage])
		}
		fmt.Fprintf(&text, "%s (%s, %s)", job.Name, plan.Stages[job.Stage], job.When)
		if len(dependencies) > 0 {
			fmt.Fprintf(&text, " after %s", strings.Join(dependencies, ", "))
		}
		text.WriteByte('\n')
	}
	return text.String()
}
