package pipeline

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"

	"go.yaml.in/yaml/v3"
)

// Plan is what a file comes to: its jobs with all that others gave them.
type Plan struct {
	Stages []string `json:"stages"`
	Jobs   []Job    `json:"jobs"`
}

// Job is a job of a plan.
type Job struct {
	Name  string `json:"name"`
	Stage int    `json:"stage"`
	// Needs are the jobs, by their place in the plan, that have to end first. Without
	// any, if Staged is true, it is all of the earlier stages.
	Needs  []int     `json:"needs,omitempty"`
	Staged bool      `json:"staged,omitempty"`
	Spec   jobs.Spec `json:"spec"` // without id
	// Retries is how often it is tried again, after the causes in RetryOn.
	Retries       int            `json:"retries,omitempty"`
	RetryOn       []FailureCause `json:"retry_on,omitempty"`
	TimeoutS      float64        `json:"timeout_s,omitempty"` // 0: none
	When          When           `json:"when"`
	StartInS      float64        `json:"start_in_s,omitempty"`
	AllowFailure  bool           `json:"allow_failure,omitempty"`
	Group         string         `json:"group,omitempty"`
	Interruptible bool           `json:"interruptible,omitempty"`
	Line          int            `json:"line"` // where it is in the file
}

// When tells after what a job starts.
type When string

// The whens of the published format.
const (
	OnSuccess When = "on_success"
	OnFailure When = "on_failure"
	Always    When = "always"
	Manual    When = "manual"
	Delayed   When = "delayed"
)

// FailureCause is why a try of a job failed.
type FailureCause string

// The causes there are. The names are the published format's; of its others none can
// happen here.
const (
	CauseTimeout       FailureCause = "job_execution_timeout"
	CauseScriptFailure FailureCause = "script_failure" // it failed on several machines where others work
)

// failureCauses are the published names and what they come to here.
var failureCauses = map[string][]FailureCause{
	"always": {CauseTimeout, CauseScriptFailure}, "script_failure": {CauseScriptFailure}, "job_execution_timeout": {CauseTimeout},
	"stuck_or_timeout_failure": {CauseTimeout}, "unknown_failure": nil, "api_failure": nil, "runner_system_failure": nil,
	"runner_unsupported": nil, "stale_schedule": nil, "archived_failure": nil, "unmet_prerequisites": nil,
	"scheduler_failure": nil, "data_integrity_failure": nil, "missing_dependency_failure": nil,
}

// ignoredKeys are keys of the published format that change nothing about which jobs run
// here and when; refused are those that would.
var (
	ignoredKeys = []string{"script", "before_script", "after_script", "artifacts", "cache", "services", "environment", "coverage", "release",
		"pages", "secrets", "id_tokens", "tags", "hooks", "identity", "inherit", "dependencies", "dast_configuration", "spec", "workflow",
		"$schema"}
	unsupportedKeys = map[string]string{
		"rules": "when says whether a job runs", "only": "when says whether a job runs", "except": "when says whether a job runs",
		"include": "a file stands alone; anchors and extends join its parts", "trigger": "a run of another file is started by itself",
		"run": "a cluster job has an image, no steps",
	}
)

// ClassLimits are what the operators allow a class at most; ok is false if they say nothing.
type ClassLimits func(class string) (l jobs.ClassLimits, ok bool)

// ValidateSpec judges a job's description against the cluster, with an error that tells what
// would be right.
type ValidateSpec func(spec *jobs.Spec) error

// Parse makes a plan of a file. On failure the error is Problems. Notices tell of keys
// that have no meaning here. limits and check may be nil: nothing is known of a cluster.
func Parse(raw []byte, limits ClassLimits, check ValidateSpec) (plan *Plan, notices Problems, err error) {
	c := &compiler{limits: limits, validate: check, jobNodes: map[string]*yaml.Node{}, extendedNodes: map[string]*yaml.Node{}}
	if len(raw) > tuning.MaxPipelineFileBytes {
		return nil, nil, Problems{{1, 1, fmt.Sprintf("the file has %d bytes, more than %d", len(raw), tuning.MaxPipelineFileBytes)}}
	}
	var doc yaml.Node
	if err := yaml.Unmarshal(raw, &doc); err != nil {
		return nil, nil, Problems{syntaxProblem(err)}
	}
	if doc.Kind != yaml.DocumentNode || resolveAlias(doc.Content[0]).Kind != yaml.MappingNode {
		return nil, nil, Problems{{1, 1, "the file must be a mapping of jobs"}}
	}
	top, err := c.copyTree(doc.Content[0], 0)
	if err != nil {
		c.addError(&doc, "file", err)
		return nil, nil, c.problems
	}
	c.compileFile(top)
	if len(c.problems) > 0 {
		return nil, c.notices.sorted(), c.problems.sorted()
	}
	return &c.plan, c.notices.sorted(), nil
}

// syntaxProblem finds the place in the library's words.
func syntaxProblem(err error) Problem {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	p := Problem{1, 1, text}
	if rest, found := strings.CutPrefix(text, "line "); found {
		num, words, _ := strings.Cut(rest, ": ")
		if n, err := strconv.Atoi(num); err == nil {
			p = Problem{n, 1, words}
		}
	}
	return p
}

type compiler struct {
	problemCollector
	limits        ClassLimits
	validate      ValidateSpec
	file          file
	variables     map[string]string
	defaultNode   *yaml.Node            // default
	jobNodes      map[string]*yaml.Node // jobs as written, hidden ones too
	nameNodes     map[string]*yaml.Node // where they are named
	extendedNodes map[string]*yaml.Node // with what they extend
	plan          Plan
	copies        map[string][]int // places in the plan of a job in the file
	pendingNeeds  []pendingNeed
}

// pendingNeed is a job's needs as written, to be found once all jobs are known.
type pendingNeed struct {
	job   int
	needs needs
}

func (c *compiler) compileFile(top *yaml.Node) {
	c.nameNodes, c.copies, c.variables = map[string]*yaml.Node{}, map[string][]int{}, map[string]string{}
	var order []string
	c.decodeMapping(top, "", &c.file, func(key, v *yaml.Node) {
		name := key.Value
		switch {
		case c.reportForeignKey(key, ""):
		case v.Kind != yaml.MappingNode:
			c.addProblem(v, "%s: a job must be a mapping", name)
		case c.jobNodes[name] != nil:
			c.addProblem(key, "%s: there are two jobs of this name", name)
		default:
			c.jobNodes[name], c.nameNodes[name] = v, key
			order = append(order, name)
		}
	})
	c.defaultNode = valueOf(top, "default")
	if c.defaultNode != nil {
		var d defaults
		c.decodeMapping(c.defaultNode, "default.", &d, func(key, _ *yaml.Node) { c.reportUnknownKey(key, "default.") })
	}
	for k, v := range c.file.Variables {
		c.variables[k] = string(v)
	}
	c.plan.Stages = []string{"build", "test", "deploy"}
	if c.file.Stages != nil {
		c.plan.Stages = c.file.Stages
	}
	c.plan.Stages = slices.Concat([]string{".pre"}, slices.DeleteFunc(slices.Clone(c.plan.Stages), func(s string) bool { return s == ".pre" || s == ".post" }),
		[]string{".post"})
	if len(c.plan.Stages) != len(slices.Compact(slices.Sorted(slices.Values(c.plan.Stages)))) {
		c.addProblem(valueOf(top, "stages"), "stages: a stage is named twice")
	}
	for _, name := range order {
		if !strings.HasPrefix(name, ".") {
			c.compileJob(name)
		}
	}
	switch n := len(c.plan.Jobs); {
	case n == 0 && len(c.problems) == 0:
		c.addProblem(top, "the file has no job")
	case n > tuning.MaxPipelineJobs:
		c.addProblem(top, "the file has %d jobs, more than %d", n, tuning.MaxPipelineJobs)
	}
	c.linkNeeds()
	c.reportCycles()
}

// reportUnknownKey tells of a key that a job has not.
func (c *compiler) reportUnknownKey(key *yaml.Node, what string) {
	if !c.reportForeignKey(key, what) {
		c.addProblem(key, "%s%s: unknown key%s", what, key.Value, suggestKey(key.Value, typeOf[jobKeys]()))
	}
}

// reportForeignKey tells of a key that has a meaning elsewhere; false if it is none.
func (c *compiler) reportForeignKey(key *yaml.Node, what string) bool {
	if why, no := unsupportedKeys[key.Value]; no {
		c.addProblem(key, "%s%s: not supported; %s", what, key.Value, why)
		return true
	}
	if slices.Contains(ignoredKeys, key.Value) {
		c.addNotice(key, "%s%s: has no meaning here", what, key.Value)
		return true
	}
	return false
}

// extendedNode is a job with the keys of those that it extends.
func (c *compiler) extendedNode(name string, path []string) *yaml.Node {
	if node := c.extendedNodes[name]; node != nil {
		return node
	}
	node := c.jobNodes[name]
	if e := valueOf(node, "extends"); e != nil {
		var from oneOrMore
		if err := e.Decode(&from); err != nil {
			c.addError(e, name+".extends", err)
		}
		for _, f := range slices.Backward(from) {
			switch {
			case c.jobNodes[f] == nil:
				c.addProblem(e, "%s.extends: there is no job %q%s", name, f, c.suggestJob(f))
			case slices.Contains(path, f) || f == name:
				c.addProblem(e, "%s.extends: goes in a circle: %s", name, strings.Join(append(path, name, f), ", "))
			case len(path) >= maxExtends:
				c.addProblem(e, "%s.extends: more than %d levels", name, maxExtends)
			default:
				node = mergeMappings(node, c.extendedNode(f, append(path, name)))
			}
		}
	}
	c.extendedNodes[name] = node
	return node
}

func (c *compiler) suggestJob(name string) string { return suggest(name, maps.Keys(c.jobNodes), "%q") }

// jobCopy is one copy of a job.
type jobCopy struct {
	name      string
	variables map[string]string
}

func (c *compiler) compileJob(name string) {
	node := mergeMappings(c.extendedNode(name, nil), c.defaultNode)
	var p parallel
	if x := valueOf(node, "parallel"); x != nil {
		if err := x.Decode(&p); err != nil {
			c.addError(x, name+".parallel", err)
			return
		}
	}
	variables := map[string]string{"CI_JOB_NAME": name}
	maps.Copy(variables, c.variables)
	if x := valueOf(node, "variables"); x != nil {
		var own map[string]scalar
		if err := x.Decode(&own); err != nil {
			c.addError(x, name+".variables", err)
		}
		for k, v := range own {
			variables[k] = string(v)
		}
	}
	copies := jobCopies(name, p)
	if len(copies) > maxParallel {
		c.addProblem(valueOf(node, "parallel"), "%s.parallel: %d copies, more than %d", name, len(copies), maxParallel)
		return
	}
	for _, v := range copies {
		all := maps.Clone(variables)
		maps.Copy(all, v.variables)
		before := len(c.problems)
		c.compileCopy(name, v.name, node, all)
		if len(c.problems) > before {
			return // the other copies have the same problems
		}
	}
}

// jobCopies are the copies of a job.
func jobCopies(name string, p parallel) []jobCopy {
	if p.N > 0 {
		out := make([]jobCopy, p.N)
		for i := range out {
			out[i] = jobCopy{fmt.Sprintf("%s %d/%d", name, i+1, p.N),
				map[string]string{"CI_NODE_INDEX": strconv.Itoa(i + 1), "CI_NODE_TOTAL": strconv.Itoa(p.N)}}
		}
		return out
	}
	if p.Matrix == nil {
		return []jobCopy{{name: name}}
	}
	var out []jobCopy
	for i, row := range p.Matrix {
		combos := []jobCopy{{variables: map[string]string{}}}
		for _, key := range p.keys[i] {
			var next []jobCopy
			for _, c := range combos {
				for _, value := range row[key] {
					if len(next) > maxParallel {
						break // refused by the caller
					}
					variables := maps.Clone(c.variables)
					variables[key] = value
					next = append(next, jobCopy{c.name + ", " + value, variables})
				}
			}
			combos = next
		}
		for _, x := range combos {
			x.name = name + ": [" + strings.TrimPrefix(x.name, ", ") + "]"
			out = append(out, x)
		}
	}
	return out
}

// compileCopy makes one job of the plan.
func (c *compiler) compileCopy(base, name string, node *yaml.Node, variables map[string]string) {
	tree, err := c.copyTree(node, 0)
	if err != nil {
		c.addError(node, base, err)
		return
	}
	where := c.nameNodes[base]
	for i := 0; i+1 < len(tree.Content); i += 2 {
		// What has no meaning here may use variables that are set elsewhere.
		if key := tree.Content[i].Value; key != "variables" && unsupportedKeys[key] == "" && !slices.Contains(ignoredKeys, key) {
			c.expandVariables(tree.Content[i+1], base+"."+key, variables)
		}
	}
	k := jobKeys{When: string(OnSuccess), Stage: "test"}
	c.decodeMapping(tree, base+".", &k, func(key, _ *yaml.Node) { c.reportUnknownKey(key, base+".") })
	at := func(path ...string) *yaml.Node {
		x := tree
		for _, p := range path {
			if y := valueOf(x, p); y != nil {
				x = y
			}
		}
		if x == tree {
			return where
		}
		return x
	}
	j := Job{Name: name, Line: where.Line, Stage: slices.Index(c.plan.Stages, k.Stage), Staged: k.Needs == nil, TimeoutS: time.Duration(k.Timeout).Seconds(),
		When: When(k.When), StartInS: time.Duration(k.StartIn).Seconds(), AllowFailure: k.AllowFailure.isAllowed, Group: k.ResourceGroup,
		Interruptible: k.Interruptible, Retries: k.Retry.Max}
	if j.Stage < 0 {
		c.addProblem(at("stage"), "%s.stage: there is no stage %q; there are %s", base, k.Stage, strings.Join(c.plan.Stages[1:len(c.plan.Stages)-1], ", "))
	}
	switch j.When {
	case OnSuccess, OnFailure, Always, Manual, Delayed:
	default:
		c.addProblem(at("when"), "%s.when: unknown %q; on_success, on_failure, always, manual and delayed are known", base, k.When)
	}
	switch {
	case j.When == Delayed && j.StartInS == 0:
		c.addProblem(at("when"), "%s.start_in: missing; when: delayed needs it", base)
	case j.When != Delayed && j.StartInS > 0:
		c.addProblem(at("start_in"), "%s.start_in: only with when: delayed", base)
	}
	if j.When == Manual && !k.AllowFailure.isSet {
		j.AllowFailure = true // as published: nobody has to wait for it
	}
	if a := valueOf(tree, "allow_failure"); a != nil && a.Kind == yaml.MappingNode {
		c.addNotice(a, "%s.allow_failure: tasks have no exit codes here, so no failure is allowed", base)
	}
	c.compileRetry(base, &j, k.Retry)
	c.compileSpec(base, &j, k, at)
	if slices.ContainsFunc(c.plan.Jobs, func(o Job) bool { return o.Name == name }) {
		c.addProblem(where, "%s: two copies are called %q", base, name)
	}
	c.copies[base] = append(c.copies[base], len(c.plan.Jobs))
	if k.Needs != nil {
		c.pendingNeeds = append(c.pendingNeeds, pendingNeed{len(c.plan.Jobs), k.Needs})
	}
	c.plan.Jobs = append(c.plan.Jobs, j)
}

func (c *compiler) compileRetry(base string, j *Job, r retry) {
	if j.Retries == 0 {
		return
	}
	when := r.When
	if len(when) == 0 {
		when = oneOrMore{"always"}
	}
	for _, w := range when {
		list, known := failureCauses[w]
		if !known {
			c.addProblem(r.node, "%s.retry.when: unknown %q", base, w)
		} else if list == nil {
			c.addNotice(r.node, "%s.retry.when: %s does not happen here", base, w)
		}
		for _, x := range list {
			if !slices.Contains(j.RetryOn, x) {
				j.RetryOn = append(j.RetryOn, x)
			}
		}
	}
	if valueOf(r.node, "exit_codes") != nil {
		c.addNotice(r.node, "%s.retry.exit_codes: tasks have no exit codes here", base)
	}
	if j.Retries > tuning.MaxPipelineRetries {
		c.addProblem(r.node, "%s.retry: must be 0 to %d", base, tuning.MaxPipelineRetries)
	}
}

// jobKinds are the kinds of jobs by their names here; those that never end are none.
var jobKinds = map[string]string{"": jobs.Array, "array": jobs.Array, "gang": jobs.Gang}

// compileSpec makes the description that is submitted, and holds it against the limits of its
// class and the cluster.
func (c *compiler) compileSpec(base string, j *Job, k jobKeys, at func(path ...string) *yaml.Node) {
	u := k.Cluster
	s := &j.Spec
	*s = jobs.Spec{Class: u.Class, Team: u.Team, Urgency: u.Priority, Tasks: u.Tasks, CPU: u.CPUs, GPU: u.GPUs, MemGB: u.MemoryGB,
		MachineTypes: u.Types, OneZone: u.OneZone, Spread: u.Spread, Spot: u.Spot, Image: u.Image, ImageGB: u.ImageGB, EstimatedRunSeconds: u.EstimateS,
		CheckpointIntervalSeconds: u.CheckpointS, CheckpointSaveSeconds: u.SaveS}
	if u.Zone != "" {
		s.Zone = &u.Zone
	}
	if u.DeadlineS != 0 {
		s.DeadlineSeconds = &u.DeadlineS
	}
	if s.Image == "" {
		s.Image = string(k.Image)
	}
	if s.Urgency == "" {
		s.Urgency = "normal"
	}
	if s.Tasks == 0 {
		s.Tasks = 1
	}
	var known bool
	if s.Kind, known = jobKinds[u.Kind]; !known {
		c.addProblem(at("cluster", "kind"), "%s.cluster.kind: must be array or gang; a service never ends", base)
		return
	}
	fields := []struct {
		key  string
		bad  bool
		text string
	}{
		{"class", s.Class == "", "missing; the class of jobs it belongs to"},
		{"team", s.Team == "", "missing; the team it runs for"},
		{"image", s.Image == "", "missing; the image its tasks run"},
		{"priority", s.Priority() < 0, "must be idle, normal, high or prod"},
		{"tasks", s.Tasks < 1 || s.Tasks > jobs.MaxTasks, fmt.Sprintf("must be 1 to %d", jobs.MaxTasks)},
		{"types", s.MachineTypes != nil && len(s.MachineTypes) == 0, "must name a type, or be left out for any"},
		{"cpus", !(s.CPU >= 0), "must not be below 0"},
		{"gpus", !(s.GPU >= 0), "must not be below 0"},
		{"memory_gb", !(s.MemGB >= 0), "must not be below 0"},
		{"image_gb", !(s.ImageGB >= 0), "must not be below 0"},
		{"estimate_s", !(s.EstimatedRunSeconds >= 0), "must not be below 0"},
		{"checkpoint_s", !(s.CheckpointIntervalSeconds >= 0), "must not be below 0"},
		{"save_s", !(s.CheckpointSaveSeconds >= 0), "must not be below 0"},
		{"deadline_s", !(u.DeadlineS >= 0), "must be above 0"},
		{"cpus", s.CPU == 0 && s.GPU == 0 && s.MemGB == 0, "missing; a task must take some cpus, gpus or memory_gb"},
	}
	bad := false
	for _, f := range fields {
		if f.bad {
			c.addProblem(at("cluster", f.key), "%s.cluster.%s: %s", base, f.key, f.text)
			bad = true
		}
	}
	if bad {
		return
	}
	before := len(c.problems)
	if c.limits != nil {
		c.checkClassLimits(base, j, at)
	}
	if c.validate != nil && len(c.problems) == before {
		if err := c.validate(s); err != nil {
			c.addProblem(at("cluster"), "%s.cluster: %v", base, err)
		}
	}
}

// checkClassLimits holds a job against the limits of its class.
func (c *compiler) checkClassLimits(base string, j *Job, at func(path ...string) *yaml.Node) {
	l, set := c.limits(j.Spec.Class)
	if !set {
		return
	}
	if j.Retries > l.MaxRetries {
		c.addProblem(at("retry"), "%s.retry: %d, but class %s allows %d", base, j.Retries, j.Spec.Class, l.MaxRetries)
	}
	if l.ExceededByTasks(&j.Spec) {
		c.addProblem(at("cluster", "tasks"), "%s.cluster.tasks: %d, but class %s allows %d", base, j.Spec.Tasks, j.Spec.Class, l.MaxTasks)
	}
	if l.ExceededByRunTime(&j.Spec) {
		c.addProblem(at("cluster", "estimate_s"), "%s.cluster.estimate_s: %g, but class %s allows %g", base, j.Spec.EstimatedRunSeconds, j.Spec.Class, l.MaxRunSeconds)
	}
}

// linkNeeds finds the jobs that jobs need.
func (c *compiler) linkNeeds() {
	for _, w := range c.pendingNeeds {
		j := &c.plan.Jobs[w.job]
		for _, n := range w.needs {
			if a := valueOf(n.node, "artifacts"); a != nil {
				c.addNotice(a, "%s.needs.artifacts: has no meaning here", j.Name)
			}
			found := c.copies[n.Job]
			if found == nil {
				// One copy of several, by its own name.
				if i := slices.IndexFunc(c.plan.Jobs, func(o Job) bool { return o.Name == n.Job }); i >= 0 {
					found = []int{i}
				}
			}
			switch {
			case found == nil && n.Optional:
			case found == nil && strings.HasPrefix(n.Job, "."):
				c.addProblem(n.node, "%s.needs: %q is hidden and never runs", j.Name, n.Job)
			case found == nil:
				c.addProblem(n.node, "%s.needs: there is no job %q%s", j.Name, n.Job, c.suggestJob(n.Job))
			}
			for _, i := range found {
				if c.plan.Jobs[i].Stage > j.Stage {
					c.addProblem(n.node, "%s.needs: %q is in the later stage %s", j.Name, n.Job, c.plan.Stages[c.plan.Jobs[i].Stage])
				}
				if !slices.Contains(j.Needs, i) {
					j.Needs = append(j.Needs, i)
				}
			}
		}
		slices.Sort(j.Needs)
	}
}

// reportCycles refuses jobs that wait for each other.
func (c *compiler) reportCycles() {
	const (
		fresh = iota
		open
		closed
	)
	state := make([]int, len(c.plan.Jobs))
	var path []int
	var visit func(i int)
	visit = func(i int) {
		state[i] = open
		path = append(path, i)
		for _, n := range c.plan.Jobs[i].Needs {
			switch state[n] {
			case fresh:
				visit(n)
			case open:
				var names []string
				for _, p := range path[slices.Index(path, n):] {
					names = append(names, c.plan.Jobs[p].Name)
				}
				c.problems = append(c.problems, Problem{c.plan.Jobs[n].Line, 1,
					fmt.Sprintf("these jobs wait for each other: %s, %s", strings.Join(names, ", "), c.plan.Jobs[n].Name)})
			}
		}
		path = path[:len(path)-1]
		state[i] = closed
	}
	for i := range c.plan.Jobs {
		if state[i] == fresh {
			visit(i)
		}
	}
}
