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

// Limits of the published format.
const (
	maxParallel = 200 // copies of a job
	maxExtends  = 11  // levels of extends
)

// The stages that every file has before and after its own, and those of a file without any.
const (
	firstStage = ".pre"
	lastStage  = ".post"
)

var defaultStages = []string{"build", "test", "deploy"}

// ignoredKeys are keys of the published format that do not affect which jobs run here and when.
var ignoredKeys = []string{"script", "before_script", "after_script", "artifacts", "cache", "services", "environment", "coverage", "release",
	"pages", "secrets", "id_tokens", "tags", "hooks", "identity", "inherit", "dependencies", "dast_configuration", "spec", "workflow",
	"$schema"}

// unsupportedKeys are keys of the published format that would affect that. They are errors, whose texts
// say what to use instead.
var unsupportedKeys = map[string]string{
	"rules":   "when says whether a job runs",
	"only":    "when says whether a job runs",
	"except":  "when says whether a job runs",
	"include": "a file stands alone; anchors and extends join its parts",
	"trigger": "a run of another file is started by itself",
	"run":     "a cluster job has an image, no steps",
}

// ClassLimits returns the operators' limits of a class of jobs; ok is false if the class has none.
type ClassLimits func(class string) (limits jobs.ClassLimits, ok bool)

// ValidateSpec checks whether the cluster can run a job. The text of the error is shown to the user.
type ValidateSpec func(spec *jobs.Spec) error

// Parse makes a plan of a file. The error is of type Problems and has all errors of the file. Notices
// are about keys that have no effect here; they are returned with an error as well. limits and validate
// may be nil: then what they check is not checked.
func Parse(raw []byte, limits ClassLimits, validate ValidateSpec) (plan *Plan, notices Problems, err error) {
	if len(raw) > tuning.MaxPipelineFileBytes {
		return nil, nil, Problems{{1, 1, fmt.Sprintf("the file has %d bytes, more than %d", len(raw), tuning.MaxPipelineFileBytes)}}
	}
	var document yaml.Node
	if err := yaml.Unmarshal(raw, &document); err != nil {
		return nil, nil, Problems{syntaxProblem(err)}
	}
	if document.Kind != yaml.DocumentNode || resolveAlias(document.Content[0]).Kind != yaml.MappingNode {
		return nil, nil, Problems{{1, 1, "the file must be a mapping of jobs"}}
	}
	c := newCompiler(limits, validate)
	top, err := c.copyTree(document.Content[0], 0)
	if err != nil {
		c.addError(&document, "file", err)
		return nil, nil, c.problems
	}
	c.compileFile(top)
	if len(c.problems) > 0 {
		return nil, c.notices.sorted(), c.problems.sorted()
	}
	return &c.plan, c.notices.sorted(), nil
}

// compiler makes a plan of one file.
type compiler struct {
	problemCollector
	treeCopier
	limits   ClassLimits
	validate ValidateSpec

	file          file
	variables     map[string]string
	defaultNode   *yaml.Node            // nil if there is none
	jobNodes      map[string]*yaml.Node // the keys of the jobs as written, by name, hidden jobs included
	nameNodes     map[string]*yaml.Node // the nodes of the jobs' names, where problems are reported
	extendedNodes map[string]*yaml.Node // the jobs with the keys of those that they extend, see extendedNode

	plan         Plan
	copies       map[string][]int // indexes in the plan, by the job's name in the file
	pendingNeeds []pendingNeed
}

// pendingNeed has the needs of a job of the plan as written; resolveNeeds resolves them.
type pendingNeed struct {
	job   int // index in the plan
	needs needs
}

func newCompiler(limits ClassLimits, validate ValidateSpec) *compiler {
	return &compiler{
		limits:        limits,
		validate:      validate,
		variables:     map[string]string{},
		jobNodes:      map[string]*yaml.Node{},
		nameNodes:     map[string]*yaml.Node{},
		extendedNodes: map[string]*yaml.Node{},
		copies:        map[string][]int{},
	}
}

// compileFile makes the plan of a file's top mapping.
func (c *compiler) compileFile(top *yaml.Node) {
	names := c.readTop(top)
	c.readDefault(top)
	for name, value := range c.file.Variables {
		c.variables[name] = string(value)
	}
	c.compileStages(top)
	for _, name := range names {
		if !strings.HasPrefix(name, ".") {
			c.compileJob(name)
		}
	}
	switch count := len(c.plan.Jobs); {
	case count == 0 && len(c.problems) == 0:
		c.addProblem(top, "the file has no job")
	case count > tuning.MaxPipelineJobs:
		c.addProblem(top, "the file has %d jobs, more than %d", count, tuning.MaxPipelineJobs)
	}
	c.resolveNeeds()
	c.reportCycles()
}

// readTop decodes the keys of the file's top, and collects the jobs. It returns the jobs' names in the
// order of the file.
func (c *compiler) readTop(top *yaml.Node) []string {
	var names []string
	c.decodeMapping(top, "", &c.file, func(key, value *yaml.Node) {
		name := key.Value
		switch {
		case c.reportForeignKey(key, ""):
		case value.Kind != yaml.MappingNode:
			c.addProblem(value, "%s: a job must be a mapping", name)
		case c.jobNodes[name] != nil:
			c.addProblem(key, "%s: there are two jobs of this name", name)
		default:
			c.jobNodes[name], c.nameNodes[name] = value, key
			names = append(names, name)
		}
	})
	return names
}

// readDefault reports the problems of the keys of default. Jobs inherit these keys as written, and each
// expands the variables in them anew.
func (c *compiler) readDefault(top *yaml.Node) {
	c.defaultNode = valueOf(top, "default")
	if c.defaultNode != nil {
		var checked defaults
		c.decodeMapping(c.defaultNode, "default.", &checked, func(key, _ *yaml.Node) { c.reportUnknownKey(key, "default.") })
	}
}

func (c *compiler) compileStages(top *yaml.Node) {
	stages := defaultStages
	if c.file.Stages != nil {
		stages = c.file.Stages
	}
	own := slices.DeleteFunc(slices.Clone(stages), func(stage string) bool { return stage == firstStage || stage == lastStage })
	c.plan.Stages = slices.Concat([]string{firstStage}, own, []string{lastStage})
	distinct := slices.Compact(slices.Sorted(slices.Values(c.plan.Stages)))
	if len(c.plan.Stages) != len(distinct) {
		c.addProblem(valueOf(top, "stages"), "stages: a stage is named twice")
	}
}

// reportUnknownKey reports a key that a job does not have.
func (c *compiler) reportUnknownKey(key *yaml.Node, prefix string) {
	if !c.reportForeignKey(key, prefix) {
		c.addProblem(key, "%s%s: unknown key%s", prefix, key.Value, suggestKey(key.Value, reflect.TypeFor[jobKeys]()))
	}
}

// reportForeignKey reports a key of the published format that has no effect here or is not supported,
// and returns whether the key is such a one.
func (c *compiler) reportForeignKey(key *yaml.Node, prefix string) bool {
	if instead, unsupported := unsupportedKeys[key.Value]; unsupported {
		c.addProblem(key, "%s%s: not supported; %s", prefix, key.Value, instead)
		return true
	}
	if slices.Contains(ignoredKeys, key.Value) {
		c.addNotice(key, "%s%s: has no meaning here", prefix, key.Value)
		return true
	}
	return false
}

// extendedNode returns the keys of a job merged with those of the jobs that it extends. path are the
// jobs through which the search came here, to find cycles.
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
