package pipeline

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"cherrywall/internal/jobs"
)

const examplePipeline = `
stages: [plan, push, report]

variables:
  COMMUNE: west
  LAMPS: 40

default:
  timeout: 10m
  retry: 1
  cluster: {class: dusk, team: lamps, image: dim, cpus: 2, memory_gb: 4}

.wide:
  cluster:
    tasks: $LAMPS
    spot: true
  retry:
    max: 2
    when: [script_failure, job_execution_timeout]

plan:
  stage: plan
  cluster: {estimate_s: 30}

push:
  stage: push
  extends: .wide
  script: [echo hello]
  parallel:
    matrix:
      - ROOM: [north, south]
        DEPTH: ["1", "2"]
  resource_group: controllers-$COMMUNE

undo:
  stage: push
  when: on_failure
  needs: [plan, {job: push, optional: true}]

report:
  stage: report
  when: delayed
  start_in: 1h 30 minutes
  needs: [{job: "push: [north, 1]", artifacts: false}, undo]
  allow_failure: true
`

func parse(t *testing.T, text string) (*Plan, Problems) {
	t.Helper()
	plan, notices, err := Parse([]byte(text), nil, nil)
	if err != nil {
		t.Fatalf("%v", err)
	}
	return plan, notices
}

func jobNames(plan *Plan) []string {
	var names []string
	for _, job := range plan.Jobs {
		names = append(names, job.Name)
	}
	return names
}

func TestParseReturnsPlan(t *testing.T) {
	p, notices := parse(t, examplePipeline)
	want := []string{"plan", "push: [north, 1]", "push: [north, 2]", "push: [south, 1]", "push: [south, 2]", "undo", "report"}
	if names := jobNames(p); !slices.Equal(names, want) {
		t.Fatalf("jobs %q", names)
	}
	plan, push, undo, report := p.Jobs[0], p.Jobs[3], p.Jobs[5], p.Jobs[6]
	if plan.Retries != 1 || plan.TimeoutSeconds != 600 || plan.Spec.Tasks != 1 || plan.Spec.CPU != 2 || plan.Spec.EstimatedRunSeconds != 30 ||
		plan.Spec.Kind != jobs.Array || plan.Spec.Urgency != "normal" || !plan.WaitsForEarlierStages {
		t.Errorf("plan: %+v", plan)
	}
	if push.Retries != 2 || !slices.Equal(push.RetryOn, []FailureCause{CauseScriptFailure, CauseTimeout}) || push.Spec.Tasks != 40 || !push.Spec.Spot ||
		push.Spec.Class != "dusk" || push.ResourceGroup != "controllers-west" {
		t.Errorf("push: %+v", push)
	}
	if undo.When != OnFailure || !slices.Equal(undo.Needs, []int{0, 1, 2, 3, 4}) || undo.WaitsForEarlierStages {
		t.Errorf("undo: %+v", undo)
	}
	if report.StartInSeconds != 5400 || !slices.Equal(report.Needs, []int{1, 5}) || !report.AllowFailure {
		t.Errorf("report: %+v", report)
	}
	if len(notices) != 2 || !strings.Contains(notices[1].Text, "report.needs.artifacts") || !strings.Contains(notices[0].Text, "push.script: has no meaning here") {
		t.Errorf("notices: %v", notices)
	}
}

const fileWithProblems = `stages: [one, two]
default:
  cluster: {class: c, team: t, image: i, cpus: 1}
a:
  stage: one
  needs: [b, c]
b:
  stage: one
  needs: [a]
  tiemout: 5m
early:
  stage: one
  needs: [late]
late:
  stage: two
  timeout: 3 fortnights
  extends: .base
none:
  stage: three
  retry: {max: 2, when: never}
  when: sometimes
big:
  stage: one
  cluster: {kind: service, cpu: 3, tasks: x}
huge:
  stage: two
  cluster: {cpus: -2, priority: urgent}
ruled:
  stage: two
  rules: [{if: $X}]
unset:
  stage: two
  resource_group: g-$NOBODY
`

var expectedProblems = []string{
	`4:1: these jobs wait for each other: a, b, a`,
	`6:14: a.needs: there is no job "c"; "a" is meant?`,
	`10:3: b.tiemout: unknown key; timeout is meant?`,
	`13:11: early.needs: "late" is in the later stage two`,
	`16:12: late.timeout: unknown unit "fortnights"; s, m, h, d and w are known`,
	`17:12: late.extends: there is no job ".base"`,
	`19:10: none.stage: there is no stage "three"; there are one, two`,
	`20:10: none.retry.when: unknown "never"`,
	`21:9: none.when: unknown "sometimes"; on_success, on_failure, always, manual and delayed are known`,
	`24:19: big.cluster.kind: must be array or gang; a service never ends`,
	`24:28: big.cluster.cpu: unknown key; cpus is meant?`,
	`24:43: big.cluster.tasks: must be a whole number`,
	`27:19: huge.cluster.cpus: must not be below 0`,
	`27:33: huge.cluster.priority: must be idle, normal, high or prod`,
	`30:3: ruled.rules: not supported; when says whether a job runs`,
	`33:19: unset.resource_group: variable NOBODY is not set`,
}

// All problems of a file are reported at once, each with its position and with what is allowed instead.
func TestParseReportsAllProblems(t *testing.T) {
	_, _, err := Parse([]byte(fileWithProblems), nil, nil)
	var problems Problems
	if !errors.As(err, &problems) {
		t.Fatal(err)
	}
	for _, want := range expectedProblems {
		if !slices.ContainsFunc(problems, func(problem Problem) bool { return problem.String() == want }) {
			t.Errorf("not reported: %s", want)
		}
	}
	if t.Failed() {
		t.Log(err)
	}
}

func TestClassLimitAndValidationProblemsAreReported(t *testing.T) {
	limits := func(class string) (jobs.ClassLimits, bool) {
		return jobs.ClassLimits{MaxRetries: 1, MaxTasks: 30, MaxRunSeconds: 60}, class == "dusk"
	}
	validate := func(spec *jobs.Spec) error {
		if spec.EstimatedRunSeconds == 30 {
			return errors.New("a task fits no allowed machine type")
		}
		return nil
	}
	_, _, err := Parse([]byte(examplePipeline), limits, validate)
	var problems Problems
	if !errors.As(err, &problems) || len(problems) != 3 {
		t.Fatalf("%v", err)
	}
	for _, want := range []string{
		"push.retry: 2, but class dusk allows 1",
		"push.cluster.tasks: 40, but class dusk allows 30",
		"plan.cluster: a task fits no allowed machine type",
	} {
		if !slices.ContainsFunc(problems, func(problem Problem) bool { return problem.Text == want && problem.Line > 1 }) {
			t.Errorf("not reported: %s in\n%v", want, err)
		}
	}
}

// A file with nested aliases that grow exponentially when they are resolved is rejected within a few seconds.
// A file whose jobs extend each other is rejected, too.
func TestExponentialAliasesAndExtendsCyclesAreRejected(t *testing.T) {
	var nestedAliases strings.Builder
	nestedAliases.WriteString("v0: &v0 {script: [x, x, x, x, x, x, x, x, x]}\n")
	for i := range 12 {
		fmt.Fprintf(&nestedAliases, "v%d: &v%d {script: [*v%d, *v%d, *v%d, *v%d, *v%d, *v%d, *v%d, *v%d]}\n", i+1, i+1, i, i, i, i, i, i, i, i)
	}
	start := time.Now()
	if _, _, err := Parse([]byte(nestedAliases.String()), nil, nil); err == nil || !strings.Contains(err.Error(), "unfolds to too much") {
		t.Errorf("%v", err)
	}
	if elapsed := time.Since(start); elapsed > 5*time.Second {
		t.Errorf("Parse took %v", elapsed)
	}
	_, _, err := Parse([]byte("a: {extends: b}\nb: {extends: a}\n"), nil, nil)
	if err == nil || !strings.Contains(err.Error(), "goes in a circle") {
		t.Errorf("%v", err)
	}
}

func TestParseFileWithFiveHundredJobs(t *testing.T) {
	var file strings.Builder
	file.WriteString("default: {cluster: {class: c, team: t, image: i, cpus: 1}}\n")
	for i := range 500 {
		fmt.Fprintf(&file, "street-%d:\n  stage: test\n  variables: {STREET: street %d of the western communes, lamps on both sides}\n  script: [dim --street \"$STREET\" --by ten --over 30 minutes, echo done]\n  timeout: 10 minutes\n  retry: 1\n", i, i)
		if i > 0 {
			fmt.Fprintf(&file, "  needs: [street-%d]\n", i-1)
		} else {
			file.WriteString("  needs: []\n")
		}
	}
	if file.Len() < 100_000 {
		t.Fatalf("the file has %d bytes", file.Len())
	}
	plan, _ := parse(t, file.String())
	if len(plan.Jobs) != 500 || !slices.Equal(plan.Jobs[499].Needs, []int{498}) {
		t.Errorf("%d jobs", len(plan.Jobs))
	}
}

// The schema has all keys of a job that are decoded or ignored, and no others.
func TestSchemaHasDecodedAndIgnoredKeys(t *testing.T) {
	raw, err := Schema()
	if err != nil {
		t.Fatal(err)
	}
	var schema struct {
		AdditionalProperties struct{ Properties map[string]json.RawMessage }
	}
	if err := json.Unmarshal(raw, &schema); err != nil {
		t.Fatal(err)
	}
	job := schema.AdditionalProperties.Properties
	for key := range fieldsByKey(reflect.TypeFor[jobKeys]()) {
		if job[key] == nil {
			t.Errorf("the schema lacks %s", key)
		}
		delete(job, key)
	}
	for key := range job {
		if !slices.Contains(ignoredKeys, key) {
			t.Errorf("%s is in the schema but is neither decoded nor ignored", key)
		}
	}
}

// FuzzParse checks that no input makes Parse panic, that its errors are Problems, and that its plans are
// consistent.
func FuzzParse(f *testing.F) {
	f.Add([]byte(examplePipeline))
	f.Add([]byte("a: {extends: [b, c]}\n.b: &x {needs: []}\nc: {<<: *x, parallel: 3}"))
	f.Add([]byte("? [a]\n: {}\n<<: {a: 1}\n!!binary a: b"))
	if raw, err := os.ReadFile("../../examples/dusk.yml"); err == nil {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		plan, _, err := Parse(raw, nil, nil)
		if err == nil {
			checkPlan(t, plan)
			return
		}
		var problems Problems
		if !errors.As(err, &problems) || len(problems) == 0 {
			t.Fatalf("%T: %v", err, err)
		}
	})
}

// checkPlan checks that the jobs of a plan need only other jobs of the same or an earlier stage, and that
// their stages and numbers of tasks are valid.
func checkPlan(t *testing.T, plan *Plan) {
	t.Helper()
	for i, job := range plan.Jobs {
		for _, needed := range job.Needs {
			if needed < 0 || needed >= len(plan.Jobs) || needed == i || plan.Jobs[needed].Stage > job.Stage {
				t.Fatalf("job %d needs %d", i, needed)
			}
		}
		if job.Spec.Tasks < 1 || job.Stage < 0 || job.Stage >= len(plan.Stages) {
			t.Fatalf("%+v", job)
		}
	}
}

// FuzzDecompressPlan checks that no input makes DecompressPlan panic, and that a compressed plan is
// decompressed to an equal plan.
func FuzzDecompressPlan(f *testing.F) {
	plan, _, err := Parse([]byte(examplePipeline), nil, nil)
	if err != nil {
		f.Fatal(err)
	}
	compressed, err := plan.Compress()
	if err != nil {
		f.Fatal(err)
	}
	if decompressed, err := DecompressPlan(compressed); err != nil || !reflect.DeepEqual(plan, decompressed) {
		f.Fatalf("%v: %+v", err, decompressed)
	}
	f.Add(compressed)
	f.Fuzz(func(t *testing.T, raw []byte) {
		if plan, err := DecompressPlan(raw); (plan == nil) == (err == nil) {
			t.Fatalf("%v %v", plan, err)
		}
	})
}
