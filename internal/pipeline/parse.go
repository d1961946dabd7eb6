package pipeline

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"

	"go.yaml.in/yaml/v3"
)

// Limits of the GitLab format.
const (
	maxParallel = 200 // maximum number of copies of a job
	maxExtends  = 11  // maximum number of levels of the "extends" key
)

// The stages that every file has before and after the stages that it lists.
const (
	firstStage = ".pre"
	lastStage  = ".post"
)

// defaultStages are the stages of a file that lists none.
var defaultStages = []string{"build", "test", "deploy"}

// ignoredKeys are keys of the GitLab format that affect neither which jobs cherrywall runs nor when it runs
// them. They are accepted with a notice.
var ignoredKeys = []string{"script", "before_script", "after_script", "artifacts", "cache", "services", "environment", "coverage", "release",
	"pages", "secrets", "id_tokens", "tags", "hooks", "identity", "inherit", "dependencies", "dast_configuration", "spec", "workflow",
	"$schema"}

// unsupportedKeys are keys of the GitLab format that would affect which jobs run and when, but are not
// supported. Each is reported as an error, whose text says what to use instead.
var unsupportedKeys = map[string]string{
	"rules":   "when says whether a job runs",
	"only":    "when says whether a job runs",
	"except":  "when says whether a job runs",
	"include": "a pipeline must be a single file; use anchors and extends to reuse parts of it",
	"trigger": "submit the other file as a separate run",
	"run":     "a cluster job runs an image and has no steps",
}

// ClassLimits returns the operators' limits of a class of jobs; ok is false if the class has none.
type ClassLimits func(class string) (limits jobs.ClassLimits, ok bool)

// SpecValidator checks whether the cluster can run a job. The text of the error is shown to the user.
type SpecValidator func(spec *jobs.Spec) error

// Parse parses a file and returns its plan. The error is of type Problems and contains all errors of the
// file. The notices are about keys that have no effect; they may be returned together with an error. If
// limits is nil, the limits of classes are not checked; if validate is nil, the specs are not validated.
func Parse(raw []byte, limits ClassLimits, validate SpecValidator) (plan *Plan, notices Problems, err error) {
	if len(raw) > tuning.MaxPipelineFileBytes {
		return nil, nil, Problems{{1, 1, fmt.Sprintf("the file has %d bytes, more than the limit of %d", len(raw), tuning.MaxPipelineFileBytes)}}
	}
	var document yaml.Node
	if err := yaml.Unmarshal(raw, &document); err != nil {
		return nil, nil, Problems{syntaxProblem(err)}
	}
	if document.Kind != yaml.DocumentNode || resolveAlias(document.Content[0]).Kind != yaml.MappingNode {
		return nil, nil, Problems{{1, 1, "the file must be a mapping of jobs"}}
	}
	c := newCompiler(limits, validate)
	root, err := c.copyTree(document.Content[0], 0)
	if err != nil {
		c.addError(&document, "file", err)
		return nil, nil, c.problems
	}
	c.compileFile(root)
	if len(c.problems) > 0 {
		return nil, c.notices.sorted(), c.problems.sorted()
	}
	return &c.plan, c.notices.sorted(), nil
}

// compiler makes the plan of one file.
type compiler struct {
	problemCollector
	treeCopier
	classLimits ClassLimits
	validate    SpecValidator

	file          file
	variables     map[string]string
	defaultNode   *yaml.Node            // nil if there is none
	jobNodes      map[string]*yaml.Node // the keys of the jobs as written, by job name, including hidden jobs, whose names begin with a dot
	nameNodes     map[string]*yaml.Node // the nodes of the jobs' names, where problems are reported
	extendedNodes map[string]*yaml.Node // the results of extendedNode, by job name

	plan            Plan
	copyIndexes     map[string][]int // indexes in the plan of each job's copies, by the job's name in the file
	unresolvedNeeds []unresolvedNeeds
}

// unresolvedNeeds holds the needs of a job of the plan as written in the file, for resolveNeeds.
type unresolvedNeeds struct {
	job   int // index in the plan
	needs needs
}

func newCompiler(limits ClassLimits, validate SpecValidator) *compiler {
	return &compiler{
		classLimits:   limits,
		validate:      validate,
		variables:     map[string]string{},
		jobNodes:      map[string]*yaml.Node{},
		nameNodes:     map[string]*yaml.Node{},
		extendedNodes: map[string]*yaml.Node{},
		copyIndexes:   map[string][]int{},
	}
}

// compileFile makes the plan from the root mapping of a file.
func (c *compiler) compileFile(root *yaml.Node) {
	names := c.decodeRoot(root)
	c.decodeDefault(root)
	for name, value := range c.file.Variables {
		c.variables[name] = string(value)
	}
	c.compileStages(root)
	for _, name := range names {
		if !strings.HasPrefix(name, ".") {
			c.compileJob(name)
		}
	}
	switch count := len(c.plan.Jobs); {
	case count == 0 && len(c.problems) == 0:
		c.addProblem(root, "the file has no jobs")
	case count > tuning.MaxPipelineJobs:
		c.addProblem(root, "the file has %d jobs, more than the limit of %d", count, tuning.MaxPipelineJobs)
	}
	c.resolveNeeds()
	c.reportCycles()
}

// decodeRoot decodes the top-level keys of the file and collects the jobs. It returns the names of the jobs in
// the order of the file.
func (c *compiler) decodeRoot(root *yaml.Node) []string {
	var names []string
	c.decodeMapping(root, "", &c.file, func(key, value *yaml.Node) {
		name := key.Value
		switch {
		case c.reportIgnoredOrUnsupportedKey(key, ""):
		case value.Kind != yaml.MappingNode:
			c.addProblem(value, "%s: a job must be a mapping", name)
		case c.jobNodes[name] != nil:
			c.addProblem(key, "%s: there are two jobs with this name", name)
		default:
			c.jobNodes[name], c.nameNodes[name] = value, key
			names = append(names, name)
		}
	})
	return names
}

// decodeDefault reports the problems of the keys below the "default" key. The decoded values are
// discarded: each job inherits the keys as written and expands the variables in them with its own values.
func (c *compiler) decodeDefault(root *yaml.Node) {
	c.defaultNode = valueOf(root, "default")
	if c.defaultNode != nil {
		var discarded defaults
		c.decodeMapping(c.defaultNode, "default.", &discarded, func(key, _ *yaml.Node) { c.reportUnknownKey(key, "default.") })
	}
}

func (c *compiler) compileStages(root *yaml.Node) {
	stages := defaultStages
	if c.file.Stages != nil {
		stages = c.file.Stages
	}
	userStages := slices.DeleteFunc(slices.Clone(stages), func(stage string) bool { return stage == firstStage || stage == lastStage })
	c.plan.Stages = slices.Concat([]string{firstStage}, userStages, []string{lastStage})
	distinctStages := slices.Compact(slices.Sorted(slices.Values(c.plan.Stages)))
	if len(c.plan.Stages) != len(distinctStages) {
		c.addProblem(valueOf(root, "stages"), "stages: a stage is listed twice")
	}
}

// reportUnknownKey reports a key that is not a key of jobs. prefix precedes the key in the problem text.
func (c *compiler) reportUnknownKey(key *yaml.Node, prefix string) {
	if !c.reportIgnoredOrUnsupportedKey(key, prefix) {
		c.addProblem(key, "%s%s: unknown key%s", prefix, key.Value, suggestKey(key.Value, reflect.TypeFor[jobKeys]()))
	}
}

// reportIgnoredOrUnsupportedKey adds a notice for a key of the GitLab format that has no effect, and a problem
// for one that is not supported. It returns false, and reports nothing, for any other key.
func (c *compiler) reportIgnoredOrUnsupportedKey(key *yaml.Node, prefix string) bool {
	if alternative, isUnsupported := unsupportedKeys[key.Value]; isUnsupported {
		c.addProblem(key, "%s%s: not supported; %s", prefix, key.Value, alternative)
		return true
	}
	if slices.Contains(ignoredKeys, key.Value) {
		c.addNotice(key, "%s%s: has no meaning here", prefix, key.Value)
		return true
	}
	return false
}

// extendedNode returns the keys of a job merged with the keys of the jobs that it extends. path contains the
// jobs that extend this one, from the job where the recursion began, so that cycles are detected.
func (c *compiler) extendedNode(name string, path []string) *yaml.Node {
	if node := c.extendedNodes[name]; node != nil {
		return node
	}
	node := c.jobNodes[name]
	if extends := valueOf(node, "extends"); extends != nil {
		var parents oneOrMore
		if err := extends.Decode(&parents); err != nil {
			c.addError(extends, name+".extends", err)
		}
		for _, parent := range slices.Backward(parents) {
			switch {
			case c.jobNodes[parent] == nil:
				c.addProblem(extends, "%s.extends: there is no job %q%s", name, parent, c.suggestJob(parent))
			case slices.Contains(path, parent) || parent == name:
				c.addProblem(extends, "%s.extends: goes in a circle: %s", name, strings.Join(append(path, name, parent), ", "))
			case len(path) >= maxExtends:
				c.addProblem(extends, "%s.extends: more than %d levels", name, maxExtends)
			default:
				node = mergeMappings(node, c.extendedNode(parent, append(path, name)))
			}
		}
	}
	c.extendedNodes[name] = node
	return node
}

func (c *compiler) suggestJob(name string) string {
	return suggest(name, maps.Keys(c.jobNodes), "%q")
}
