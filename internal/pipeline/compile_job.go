package pipeline

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"cherrywall/internal/tuning"

	"go.yaml.in/yaml/v3"
)

// jobCopy is one of the copies of a job that the job's "parallel" key defines.
type jobCopy struct {
	name      string
	variables map[string]string // variables of this copy, in addition to those of the job
}

// compileJob adds all copies of a job of the file to the plan, or reports the problems of the job.
func (c *compiler) compileJob(name string) {
	node := mergeMappings(c.extendedNode(name, nil), c.defaultNode)
	var p parallel
	if value := valueOf(node, "parallel"); value != nil {
		if err := value.Decode(&p); err != nil {
			c.addError(value, name+".parallel", err)
			return
		}
	}
	variables := c.jobVariables(name, node)
	copies := jobCopies(name, p)
	if len(copies) > maxParallel {
		c.addProblem(valueOf(node, "parallel"), "%s.parallel: %d copies, more than the limit of %d", name, len(copies), maxParallel)
		return
	}
	for _, singleCopy := range copies {
		copyVariables := maps.Clone(variables)
		maps.Copy(copyVariables, singleCopy.variables)
		problemsBefore := len(c.problems)
		c.compileCopy(name, singleCopy.name, node, copyVariables)
		if len(c.problems) > problemsBefore {
			return // the other copies have the same problems
		}
	}
}

// jobVariables returns the variables of a job. Variables of the job override variables of the file.
func (c *compiler) jobVariables(name string, node *yaml.Node) map[string]string {
	variables := map[string]string{"CI_JOB_NAME": name}
	maps.Copy(variables, c.variables)
	if value := valueOf(node, "variables"); value != nil {
		var overrides map[string]scalar
		if err := value.Decode(&overrides); err != nil {
			c.addError(value, name+".variables", err)
		}
		for variable, text := range overrides {
			variables[variable] = string(text)
		}
	}
	return variables
}

// jobCopies returns the copies of a job. A job without the "parallel" key has one copy, with the job's name.
func jobCopies(name string, p parallel) []jobCopy {
	if p.N > 0 {
		return numberedCopies(name, p.N)
	}
	if p.Matrix == nil {
		return []jobCopy{{name: name}}
	}
	var copies []jobCopy
	for i, row := range p.Matrix {
		for _, combination := range combinations(row, p.rowVariables[i]) {
			combination.name = name + ": [" + strings.TrimPrefix(combination.name, ", ") + "]"
			copies = append(copies, combination)
		}
	}
	return copies
}

func numberedCopies(name string, count int) []jobCopy {
	copies := make([]jobCopy, count)
	for i := range copies {
		number := strconv.Itoa(i + 1)
		copies[i] = jobCopy{
			name:      fmt.Sprintf("%s %s/%d", name, number, count),
			variables: map[string]string{"CI_NODE_INDEX": number, "CI_NODE_TOTAL": strconv.Itoa(count)},
		}
	}
	return copies
}

// combinations returns one copy for each combination of the values of a matrix row's variables. The copies
// are named after the values. The number of combinations grows exponentially with the number of variables:
// if there are more than maxParallel combinations, combinations returns only a few copies more than
// maxParallel, which the caller rejects.
func combinations(row map[string]oneOrMore, variables []string) []jobCopy {
	partialCombinations := []jobCopy{{variables: map[string]string{}}}
	for _, variable := range variables {
		var extendedCombinations []jobCopy
		for _, combination := range partialCombinations {
			for _, value := range row[variable] {
				if len(extendedCombinations) > maxParallel {
					break
				}
				extendedCombinations = append(extendedCombinations, combination.withVariable(variable, value))
			}
		}
		partialCombinations = extendedCombinations
	}
	return partialCombinations
}

func (j jobCopy) withVariable(variable, value string) jobCopy {
	variables := maps.Clone(j.variables)
	variables[variable] = value
	return jobCopy{name: j.name + ", " + value, variables: variables}
}

// jobCompiler compiles one copy of a job.
type jobCompiler struct {
	*compiler
	jobName string     // the job's name in the file, used in problem texts
	tree    *yaml.Node // the keys of the copy, with variables expanded
	keys    jobKeys
	job     Job
}

// compileCopy adds one copy of a job to the plan.
func (c *compiler) compileCopy(jobName, copyName string, node *yaml.Node, variables map[string]string) {
	tree, err := c.copyTree(node, 0)
	if err != nil {
		c.addError(node, jobName, err)
		return
	}
	c.expandKeys(jobName, tree, variables)
	j := &jobCompiler{compiler: c, jobName: jobName, tree: tree, keys: jobKeys{When: string(OnSuccess), Stage: "test"}}
	c.decodeMapping(tree, jobName+".", &j.keys, func(key, _ *yaml.Node) { c.reportUnknownKey(key, jobName+".") })
	j.compile(copyName)
	if slices.ContainsFunc(c.plan.Jobs, func(other Job) bool { return other.Name == copyName }) {
		c.addProblem(c.nameNodes[jobName], "%s: two copies have the name %q", jobName, copyName)
	}
	index := len(c.plan.Jobs)
	c.copyIndexes[jobName] = append(c.copyIndexes[jobName], index)
	if j.keys.Needs != nil {
		c.unresolvedNeeds = append(c.unresolvedNeeds, unresolvedNeeds{job: index, needs: j.keys.Needs})
	}
	c.plan.Jobs = append(c.plan.Jobs, j.job)
}

// expandKeys expands the variables in the values of a job's keys. It leaves out the "variables" key itself,
// and the keys that are ignored or unsupported: these may use variables that are not set in the file.
func (c *compiler) expandKeys(jobName string, tree *yaml.Node, variables map[string]string) {
	for i := 0; i+1 < len(tree.Content); i += 2 {
		key := tree.Content[i].Value
		if key != "variables" && unsupportedKeys[key] == "" && !slices.Contains(ignoredKeys, key) {
			c.expandVariables(tree.Content[i+1], jobName+"."+key, variables)
		}
	}
}

// problemNode returns the node at which a problem with a key is reported: the deepest node that exists on
// the path of keys, or the node of the job's name if no key of the path exists.
func (j *jobCompiler) problemNode(path ...string) *yaml.Node {
	node := j.tree
	for _, key := range path {
		if value := valueOf(node, key); value != nil {
			node = value
		}
	}
	if node == j.tree {
		return j.nameNodes[j.jobName]
	}
	return node
}

// compile makes the job of the plan from the keys, and reports the problems of the keys.
func (j *jobCompiler) compile(copyName string) {
	keys := &j.keys
	j.job = Job{
		Name:                  copyName,
		Line:                  j.nameNodes[j.jobName].Line,
		Stage:                 slices.Index(j.plan.Stages, keys.Stage),
		WaitsForEarlierStages: keys.Needs == nil,
		TimeoutSeconds:        time.Duration(keys.Timeout).Seconds(),
		When:                  When(keys.When),
		StartInSeconds:        time.Duration(keys.StartIn).Seconds(),
		AllowFailure:          keys.AllowFailure.isAllowed,
		ResourceGroup:         keys.ResourceGroup,
		Interruptible:         keys.Interruptible,
		Retries:               keys.Retry.Max,
	}
	if j.job.Stage < 0 {
		userStages := j.plan.Stages[1 : len(j.plan.Stages)-1]
		j.addProblem(j.problemNode("stage"), "%s.stage: there is no stage %q; there are %s", j.jobName, keys.Stage, strings.Join(userStages, ", "))
	}
	j.compileWhen()
	j.compileAllowFailure()
	j.compileRetry()
	j.compileSpec()
}

func (j *jobCompiler) compileWhen() {
	when, startInSeconds := j.job.When, j.job.StartInSeconds
	switch when {
	case OnSuccess, OnFailure, Always, Manual, Delayed:
	default:
		j.addProblem(j.problemNode("when"), "%s.when: unknown %q; on_success, on_failure, always, manual and delayed are known", j.jobName, j.keys.When)
	}
	switch {
	case when == Delayed && startInSeconds == 0:
		j.addProblem(j.problemNode("when"), "%s.start_in: missing; required with when: delayed", j.jobName)
	case when != Delayed && startInSeconds > 0:
		j.addProblem(j.problemNode("start_in"), "%s.start_in: allowed only with when: delayed", j.jobName)
	}
}

func (j *jobCompiler) compileAllowFailure() {
	if j.job.When == Manual && !j.keys.AllowFailure.isSet {
		j.job.AllowFailure = true // the default of the GitLab format: no other job waits for a manual job
	}
	if value := valueOf(j.tree, "allow_failure"); value != nil && value.Kind == yaml.MappingNode {
		j.addNotice(value, "%s.allow_failure: tasks have no exit codes in cherrywall, so no failure is allowed", j.jobName)
	}
}

func (j *jobCompiler) compileRetry() {
	if j.job.Retries == 0 {
		return
	}
	node, when := j.keys.Retry.node, j.keys.Retry.When
	if len(when) == 0 {
		when = oneOrMore{"always"}
	}
	for _, name := range when {
		causes, isKnown := retryCauses[name]
		if !isKnown {
			j.addProblem(node, "%s.retry.when: unknown %q", j.jobName, name)
		} else if causes == nil {
			j.addNotice(node, "%s.retry.when: %s never occurs in cherrywall", j.jobName, name)
		}
		for _, cause := range causes {
			if !slices.Contains(j.job.RetryOn, cause) {
				j.job.RetryOn = append(j.job.RetryOn, cause)
			}
		}
	}
	if valueOf(node, "exit_codes") != nil {
		j.addNotice(node, "%s.retry.exit_codes: tasks have no exit codes in cherrywall", j.jobName)
	}
	if j.job.Retries > tuning.MaxPipelineRetries {
		j.addProblem(node, "%s.retry: must be 0 to %d", j.jobName, tuning.MaxPipelineRetries)
	}
}
