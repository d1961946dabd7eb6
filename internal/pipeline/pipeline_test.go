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

const dusk = `
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

func read(t *testing.T, text string) (*Plan, Problems) {
	t.Helper()
	p, notices, err := Parse([]byte(text), nil, nil)
	if err != nil {
		t.Fatalf("%v", err)
	}
	return p, notices
}

func names(p *Plan) []string {
	var out []string
	for _, j := range p.Jobs {
		out = append(out, j.Name)
	}
	return out
}

func TestAFileBecomesAPlan(t *testing.T) {
	p, notices := read(t, dusk)
	want := []string{"plan", "push: [north, 1]", "push: [north, 2]", "push: [south, 1]", "push: [south, 2]", "undo", "report"}
	if got := names(p); !slices.Equal(got, want) {
		t.Fatalf("jobs %q", got)
	}
	plan, push, undo, report := p.Jobs[0], p.Jobs[3], p.Jobs[5], p.Jobs[6]
	if plan.Retries != 1 || plan.TimeoutS != 600 || plan.Spec.Tasks != 1 || plan.Spec.CPU != 2 || plan.Spec.EstimatedRunSeconds != 30 ||
		plan.Spec.Kind != jobs.Array || plan.Spec.Urgency != "normal" || !plan.Staged {
		t.Errorf("plan: %+v", plan)
	}
	if push.Retries != 2 || !slices.Equal(push.RetryOn, []FailureCause{CauseScriptFailure, CauseTimeout}) || push.Spec.Tasks != 40 || !push.Spec.Spot ||
		push.Spec.Class != "dusk" || push.Group != "controllers-west" {
		t.Errorf("push: %+v", push)
	}
	if undo.When != OnFailure || !slices.Equal(undo.Needs, []int{0, 1, 2, 3, 4}) || undo.Staged {
		t.Errorf("undo: %+v", undo)
	}
	if report.StartInS != 5400 || !slices.Equal(report.Needs, []int{1, 5}) || !report.AllowFailure {
		t.Errorf("report: %+v", report)
	}
	if len(notices) != 2 || !strings.Contains(notices[1].Text, "report.needs.artifacts") || !strings.Contains(notices[0].Text, "push.script: has no meaning here") {
		t.Errorf("notices: %v", notices)
	}
}

// Whatever is wrong is told at once, where it stands and with what would be right.
func TestEverythingWrongIsToldAtOnce(t *testing.T) {
	text := `stages: [one, two]
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
	_, _, err := Parse([]byte(text), nil, nil)
	var ps Problems
	if !errors.As(err, &ps) {
		t.Fatal(err)
	}
	for _, want := range []string{
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
	} {
		if !slices.ContainsFunc(ps, func(p Problem) bool { return p.String() == want }) {
			t.Errorf("not told: %s", want)
		}
	}
	if t.Failed() {
		t.Log(err)
	}
}

func TestAClassLimitsWhatAFileMayAskFor(t *testing.T) {
	limits := func(class string) (jobs.ClassLimits, bool) {
		return jobs.ClassLimits{MaxRetries: 1, MaxTasks: 30, MaxRunSeconds: 60}, class == "dusk"
	}
	never := func(s *jobs.Spec) error {
		if s.EstimatedRunSeconds == 30 {
			return errors.New("a task fits no allowed machine type")
		}
		return nil
	}
	_, _, err := Parse([]byte(dusk), limits, never)
	var ps Problems
	if !errors.As(err, &ps) || len(ps) != 3 {
		t.Fatalf("%v", err)
	}
	for i, want := range []string{"push.retry: 2, but class dusk allows 1", "push.cluster.tasks: 40, but class dusk allows 30",
		"plan.cluster: a task fits no allowed machine type"} {
		if !slices.ContainsFunc(ps, func(p Problem) bool { return p.Text == want && p.Line > 1 }) {
			t.Errorf("%d: not told: %s in\n%v", i, want, err)
		}
	}
}

// Aliases that unfold without bound, and extends that go in a circle, end in an error.
func TestAFileThatUnfoldsForEverIsRefused(t *testing.T) {
	var bomb strings.Builder
	bomb.WriteString("v0: &v0 {script: [x, x, x, x, x, x, x, x, x]}\n")
	for i := range 12 {
		fmt.Fprintf(&bomb, "v%d: &v%d {script: [*v%d, *v%d, *v%d, *v%d, *v%d, *v%d, *v%d, *v%d]}\n", i+1, i+1, i, i, i, i, i, i, i, i)
	}
	start := time.Now()
	if _, _, err := Parse([]byte(bomb.String()), nil, nil); err == nil || !strings.Contains(err.Error(), "unfolds to too much") {
		t.Errorf("%v", err)
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("it took %v", took)
	}
	_, _, err := Parse([]byte("a: {extends: b}\nb: {extends: a}\n"), nil, nil)
	if err == nil || !strings.Contains(err.Error(), "goes in a circle") {
		t.Errorf("%v", err)
	}
}

func TestFiveHundredJobsInOneFile(t *testing.T) {
	var b strings.Builder
	b.WriteString("default: {cluster: {class: c, team: t, image: i, cpus: 1}}\n")
	for i := range 500 {
		fmt.Fprintf(&b, "street-%d:\n  stage: test\n  variables: {STREET: street %d of the western communes, lamps on both sides}\n  script: [dim --street \"$STREET\" --by ten --over 30 minutes, echo done]\n  timeout: 10 minutes\n  retry: 1\n", i, i)
		if i > 0 {
			fmt.Fprintf(&b, "  needs: [street-%d]\n", i-1)
		} else {
			b.WriteString("  needs: []\n")
		}
	}
	if b.Len() < 100_000 {
		t.Fatalf("the file has %d bytes", b.Len())
	}
	p, _ := read(t, b.String())
	if len(p.Jobs) != 500 || !slices.Equal(p.Jobs[499].Needs, []int{498}) {
		t.Errorf("%d jobs", len(p.Jobs))
	}
}

// Editors are told of every key that is read, and of no other.
func TestTheSchemaHasTheKeysThatAreRead(t *testing.T) {
	raw, err := Schema()
	if err != nil {
		t.Fatal(err)
	}
	var s struct {
		AdditionalProperties struct{ Properties map[string]json.RawMessage }
	}
	if err := json.Unmarshal(raw, &s); err != nil {
		t.Fatal(err)
	}
	job := s.AdditionalProperties.Properties
	for key := range fieldsByKey(reflect.TypeFor[jobKeys]()) {
		if job[key] == nil {
			t.Errorf("the schema lacks %s", key)
		}
		delete(job, key)
	}
	for key := range job {
		if !slices.Contains(ignoredKeys, key) {
			t.Errorf("%s is in the schema and is not read", key)
		}
	}
}

// FuzzRead: no file makes the reader fail, and whatever it takes makes a plan whose
// jobs refer to each other in order.
func FuzzRead(f *testing.F) {
	f.Add([]byte(dusk))
	f.Add([]byte("a: {extends: [b, c]}\n.b: &x {needs: []}\nc: {<<: *x, parallel: 3}"))
	f.Add([]byte("? [a]\n: {}\n<<: {a: 1}\n!!binary a: b"))
	if raw, err := os.ReadFile("../../examples/dusk.yml"); err == nil {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, _, err := Parse(raw, nil, nil)
		if err != nil {
			var ps Problems
			if !errors.As(err, &ps) || len(ps) == 0 {
				t.Fatalf("%T: %v", err, err)
			}
			return
		}
		for i, j := range p.Jobs {
			for _, n := range j.Needs {
				if n < 0 || n >= len(p.Jobs) || n == i || p.Jobs[n].Stage > j.Stage {
					t.Fatalf("job %d needs %d", i, n)
				}
			}
			if j.Spec.Tasks < 1 || j.Stage < 0 || j.Stage >= len(p.Stages) {
				t.Fatalf("%+v", j)
			}
		}
	})
}

// FuzzUnpack: no bytes make the reader of packed plans fail, and a plan survives it.
func FuzzUnpack(f *testing.F) {
	p, _, err := Parse([]byte(dusk), nil, nil)
	if err != nil {
		f.Fatal(err)
	}
	packed, err := p.Compress()
	if err != nil {
		f.Fatal(err)
	}
	if back, err := DecompressPlan(packed); err != nil || !reflect.DeepEqual(p, back) {
		f.Fatalf("%v: %+v", err, back)
	}
	f.Add(packed)
	f.Fuzz(func(t *testing.T, raw []byte) {
		if p, err := DecompressPlan(raw); (p == nil) == (err == nil) {
			t.Fatalf("%v %v", p, err)
		}
	})
}
