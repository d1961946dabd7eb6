package pipeline

import (
	"fmt"
	"slices"
	"strings"
)

// resolveNeeds resolves the names of needed jobs to indexes in the plan. It is called when the plan contains
// all jobs.
func (c *compiler) resolveNeeds() {
	for _, unresolved := range c.unresolvedNeeds {
		job := &c.plan.Jobs[unresolved.job]
		for _, entry := range unresolved.needs {
			if artifacts := valueOf(entry.node, "artifacts"); artifacts != nil {
				c.addNotice(artifacts, "%s.needs.artifacts: has no meaning here", job.Name)
			}
			c.addNeeds(job, entry, c.findNeededJobs(job, entry))
		}
		slices.Sort(job.Needs)
	}
}

// findNeededJobs returns the indexes of the jobs that an entry of a "needs" key names: all copies of a job, or
// the one copy with that name. If there is none, it reports a problem, unless the entry is optional.
func (c *compiler) findNeededJobs(job *Job, entry need) []int {
	if copies := c.copyIndexes[entry.Job]; copies != nil {
		return copies
	}
	if i := slices.IndexFunc(c.plan.Jobs, func(other Job) bool { return other.Name == entry.Job }); i >= 0 {
		return []int{i}
	}
	switch {
	case entry.Optional:
	case strings.HasPrefix(entry.Job, "."):
		c.addProblem(entry.node, "%s.needs: %q is hidden and never runs", job.Name, entry.Job)
	default:
		c.addProblem(entry.node, "%s.needs: there is no job %q%s", job.Name, entry.Job, c.suggestJob(entry.Job))
	}
	return nil
}

// addNeeds adds needed jobs to a job, and reports needed jobs that are in later stages.
func (c *compiler) addNeeds(job *Job, entry need, neededJobs []int) {
	for _, i := range neededJobs {
		if stage := c.plan.Jobs[i].Stage; stage > job.Stage {
			c.addProblem(entry.node, "%s.needs: %q is in the later stage %s", job.Name, entry.Job, c.plan.Stages[stage])
		}
		if !slices.Contains(job.Needs, i) {
			job.Needs = append(job.Needs, i)
		}
	}
}

// visitState is the state of a job in the search for cycles.
type visitState int

const (
	unvisited visitState = iota
	onPath               // on the current path of the search; if the last job of the path needs it, there is a cycle
	visited
)

// cycleSearch is a depth-first search for cycles of jobs that need each other.
type cycleSearch struct {
	*compiler
	states []visitState // by job
	path   []int        // the jobs from the start of the search to the current job
}

// reportCycles reports cycles of jobs that need each other.
func (c *compiler) reportCycles() {
	search := &cycleSearch{compiler: c, states: make([]visitState, len(c.plan.Jobs))}
	for i := range c.plan.Jobs {
		if search.states[i] == unvisited {
			search.visit(i)
		}
	}
}

func (s *cycleSearch) visit(job int) {
	s.states[job] = onPath
	s.path = append(s.path, job)
	for _, needed := range s.plan.Jobs[job].Needs {
		switch s.states[needed] {
		case unvisited:
			s.visit(needed)
		case onPath:
			s.report(needed)
		}
	}
	s.path = s.path[:len(s.path)-1]
	s.states[job] = visited
}

// report reports the cycle that consists of the current path from the given job to its end.
func (s *cycleSearch) report(job int) {
	var names []string
	for _, i := range s.path[slices.Index(s.path, job):] {
		names = append(names, s.plan.Jobs[i].Name)
	}
	first := &s.plan.Jobs[job]
	s.problems = append(s.problems, Problem{first.Line, 1,
		fmt.Sprintf("these jobs wait for each other: %s, %s", strings.Join(names, ", "), first.Name)})
}
