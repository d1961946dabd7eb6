package decisionlog_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"cherrywall/internal/decisionlog"
	"cherrywall/internal/fake/encodedform"
	"cherrywall/internal/tuning"
)

func newLog(level slog.Level) (*decisionlog.Log, *slog.Logger, *bytes.Buffer) {
	output := &bytes.Buffer{}
	logger := slog.New(slog.NewTextHandler(output, &slog.HandlerOptions{Level: level}))
	return decisionlog.New(logger), logger, output
}

func TestLogKeepsLatestDecisions(t *testing.T) {
	decisions, _, output := newLog(slog.LevelInfo)
	if latest := decisions.Latest(10); len(latest) != 0 {
		t.Errorf("an empty log contains %v", latest)
	}
	const addedCount = tuning.DecisionLogEntries + 3
	for i := range uint64(addedCount) {
		decisions.Add(decisionlog.Decision{Action: decisionlog.StartSent, Attempt: i})
	}
	latest := decisions.Latest(2)
	if len(latest) != 2 || latest[0].Attempt != addedCount-2 || latest[1].Attempt != addedCount-1 {
		t.Errorf("the latest two are %+v", latest)
	}
	keptDecisions := decisions.Latest(addedCount)
	if len(keptDecisions) != tuning.DecisionLogEntries || keptDecisions[0].Attempt != 3 || keptDecisions[0].At.IsZero() {
		t.Errorf("%d decisions are kept, the oldest is %+v", len(keptDecisions), keptDecisions[0])
	}
	if decisions.Count() != addedCount || output.Len() > 0 {
		t.Errorf("count %d, logged above the debug level: %q", decisions.Count(), output)
	}
}

func TestDecisionIsLoggedAtDebugLevel(t *testing.T) {
	decisions, _, output := newLog(slog.LevelDebug)
	decisions.Add(decisionlog.Decision{Action: decisionlog.StartRefused, Subject: "wk-1/0", Epoch: 7, Reason: "the team's limit"})
	for _, want := range []string{"level=DEBUG", `action="start refused"`, "subject=wk-1/0", "epoch=7", `reason="the team's limit"`} {
		if !strings.Contains(output.String(), want) {
			t.Errorf("%q is not in %s", want, output)
		}
	}
}

func TestViolationIsCountedAndLoggedWithDecisions(t *testing.T) {
	decisions, logger, output := newLog(slog.LevelInfo)
	decisions.Add(decisionlog.Decision{Action: decisionlog.StartSent, Subject: "wk-1/0"})
	violations := decisionlog.NewViolations(decisions, logger)
	violations.Report(decisionlog.UsageWithinAllocation, "team", "capped")
	for _, want := range []string{"level=ERROR", decisionlog.ViolationMessage, "team=capped", "wk-1/0"} {
		if !strings.Contains(output.String(), want) {
			t.Errorf("%q is not in %s", want, output)
		}
	}
	counts := violations.Counts()
	if counts[decisionlog.UsageWithinAllocation] != 1 || counts[decisionlog.StartsPassGate] != 0 || len(counts) != 4 {
		t.Errorf("counts %v", counts)
	}
}

// The administration API shows the encoded field names, so they must not change.
func TestEncodedForms(t *testing.T) {
	encodedform.Check(t, "testdata/encoded_forms.json",
		encodedform.Form{Name: "decision", Value: decisionlog.Decision{}, WriteOnly: true},
	)
}

// BenchmarkAdd measures the cost of adding a decision while the debug level is disabled.
func BenchmarkAdd(b *testing.B) {
	decisions, _, _ := newLog(slog.LevelInfo)
	for b.Loop() {
		decisions.Add(decisionlog.Decision{Action: decisionlog.StartSent, Subject: "wk-000001/1", Worker: "i-000001", Shard: "n0"})
	}
}
