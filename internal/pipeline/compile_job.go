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

// jobCopy is one of the copies that parallel makes of a job.
type jobCopy struct {
	name      string
	variables map[string]string // besides those of the job
}

// compileJob adds all copies of a job of the file to the plan, or reports what is wrong with it.
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
		c.addProblem(valueOf(node, "parallel"), "%s.parallel: %d copies, more than %d", name, len(copies), maxParallel)
		return
	}
	for _, one := range copies {
		all := maps.Clone(variables)
		maps.Copy(all, one.variables)
		before := len(c.problems)
		c.compileCopy(name, one.name, node, all)
		if len(c.problems) > before {
			return // the other copies have the same problems
		}
	}
}

// jobVariables returns the variables of a job: its own override those of the file.
func (c *compiler) jobVariables(name string, node *yaml.Node) map[string]string {
	variables := map[string]string{"CI_JOB_NAME": name}
	maps.Copy(variables, c.variables)
	if value := valueOf(node, "variables"); value != nil {
		var own map[string]scalar
		if err := value.Decode(&own); err != nil {
			c.addError(value, name+".variables", err)
		}
		for variable, text := range own {
			variables[variable] = string(text)
		}
	}
	return variables
}

// jobCopies returns the copies of a job: the job itself without parallel.
func jobCopies(name string, p parallel) []jobCopy {
	if p.N > 0 {
		return numberedCopies(name, p.N)
	}
	if p.Matrix == nil {
		return []jobCopy{{name: name}}
	}
	var copies []jobCopy
	for i, row := range p.Matrix {
		for _, combination := range combinations(row, p.keys[i]) {
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

// combinations returns one copy for each combination of the values of a matrix row's variables,
// named after the values. If there are more than maxParallel it returns only a few more than that,
// which the caller rejects: their number grows exponentially with that of the variables.
func combinations(row map[string]oneOrMore, variables []string) []jobCopy {
	all := []jobCopy{{variables: map[string]string{}}}
	for _, variable := range variables {
		var extended []jobCopy
		for _, combination := range all {
			for _, value := range row[variable] {
				if len(extended) > maxParallel {
					break
				}
				extended = append(extended, combination.with(variable, value))
			}
		}
		all = extended
	}
	return all
}

func (j jobCopy) with(variable, value string) jobCopy {
	variables := maps.Clone(j.variables)
	variables[variable] = value
	return jobCopy{name: j.name + ", " + value, variables: variables}
}

// jobCompiler compiles one copy of a job.
type jobCompiler struct {
	*compiler
	base string     // the job's name in the file, which problems name
	tree *yaml.Node // the copy's keys, with variables expanded
	keys jobKeys
	job  Job
}

// compileCopy adds one copy of a job to the plan.
func (c *compiler) compileCopy(base, name string, node *yaml.Node, variables map[string]string) {
	tree, err := c.copyTree(node, 0)
	if err != nil {
		c.addError(node, base, err)
		return
	}
	c.expandKeys(base, tree, variables)
	j := &jobCompiler{compiler: c, base: base, tree: tree, keys: jobKeys{When: string(OnSuccess), Stage: "test"}}
	c.decodeMapping(tree, base+".", &j.keys, func(key, _ *yaml.Node) { c.reportUnknownKey(key, base+".") })
	j.compile(name)
	if slices.ContainsFunc(c.plan.Jobs, func(other Job) bool { return other.Name == name }) {
		c.addProblem(c.nameNodes[base], "%s: two copies are called %q", base, name)
	}
	index := len(c.plan.Jobs)
	c.copies[base] = append(c.copies[base], index)
	if j.keys.Needs != nil {
		c.pendingNeeds = append(c.pendingNeeds, pendingNeed{job: index, needs: j.keys.Needs})
	}
	c.plan.Jobs = append(c.plan.Jobs, j.job)
}

// expandKeys expands the variables in the keys that are read. Keys without effect here are left out:
// they may use variables that are not set in the file.
func (c *compiler) expandKeys(base string, tree *yaml.Node, variables map[string]string) {
	for i := 0; i+1 < len(tree.Content); i += 2 {
		key := tree.Content[i].Value
		if key != "variables" && unsupportedKeys[key] == "" && !slices.Contains(ignoredKeys, key) {
			c.expandVariables(tree.Content[i+1], base+"."+key, variables)
		}
	}
}

// at returns the node where a problem with a key is reported: the deepest one on the path of keys that
// exists, or the job's name if there is none.
func (j *jobCompiler) at(path ...string) *yaml.Node {
	node := j.tree
	for _, key := range path {
		if value := valueOf(node, key); value != nil {
			node = value
		}
	}
	if node == j.tree {
		return j.nameNodes[j.base]
	}
	return node
}

// compile makes the job of the plan from the keys, and reports their problems.
func (j *jobCompiler) compile(name string) {
	keys := &j.keys
	j.job = Job{
		Name:          name,
		Line:          j.nameNodes[j.base].Line,
		Stage:         slices.Index(j.plan.Stages, keys.Stage),
		Staged:        keys.Needs == nil,
		TimeoutS:      time.Duration(keys.Timeout).Seconds(),
		When:          When(keys.When),
		StartInS:      time.Duration(keys.StartIn).Seconds(),
		AllowFailure:  keys.AllowFailure.isAllowed,
		Group:         keys.ResourceGroup,
		Interruptible: keys.Interruptible,
		Retries:       keys.Retry.Max,
	}
	if j.job.Stage < 0 {
		own := j.plan.Stages[1 : len(j.plan.Stages)-1]
		j.addProblem(j.at("stage"), "%s.stage: there is no stage %q; there are %s", j.base, keys.Stage, strings.Join(own, ", "))
	}
	j.compileWhen()
	j.compileAllowFailure()
	j.compileRetry()
	j.compileSpec()
}

func (j *jobCompiler) compileWhen() {
	when, startInSeconds := j.job.When, j.job.StartInS
	switch when {
	case OnSuccess, OnFailure, Always, Manual, Delayed:
	default:
		j.addProblem(j.at("when"), "%s.when: unknown %q; on_success, on_failure, always, manual and delayed are known", j.base, j.keys.When)
	}
	switch {
	case when == Delayed && startInSeconds == 0:
		j.addProblem(j.at("when"), "%s.start_in: missing; when: delayed needs it", j.base)
	case when != Delayed && startInSeconds > 0:
		j.addProblem(j.at("start_in"), "%s.start_in: only with when: delayed", j.base)
	}
}

func (j *jobCompiler) compileAllowFailure() {
	if j.job.When == Manual && !j.keys.AllowFailure.isSet {
		j.job.AllowFailure = true // the default of the published format: no other job waits for it
	}
	if value := valueOf(j.tree, "allow_failure"); value != nil && value.Kind == yaml.MappingNode {
		j.addNotice(value, "%s.allow_failure: tasks have no exit codes here, so no failure is allowed", j.base)
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
		causes, known := retryCauses[name]
		if !known {
			j.addProblem(node, "%s.retry.when: unknown %q", j.base, name)
		} else if causes == nil {
			j.addNotice(node, "%s.retry.when: %s does not happen here", j.base, name)
		}
		for _, cause := range causes {
			if !slices.Contains(j.job.RetryOn, cause) {
				j.job.RetryOn = append(j.job.RetryOn, cause)
			}
		}
	}
	if valueOf(node, "exit_codes") != nil {
		j.addNotice(node, "%s.retry.exit_codes: tasks have no exit codes here", j.base)
	}
	if j.job.Retries > tuning.MaxPipelineRetries {
		j.addProblem(node, "%s.retry: must be 0 to %d", j.base, tuning.MaxPipelineRetries)
	}
}
