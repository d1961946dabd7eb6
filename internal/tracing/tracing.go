// Package spans makes traces of runs of pipeline files.
package tracing

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"cherrywall/internal/pipeline"
	"cherrywall/internal/pipelineexec"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Tracer makes spans of runs, stages, jobs and tries. Their ids follow from the run's, so
// that the parts which several leaders in turn have seen are one trace.
type Tracer struct {
	tracer trace.Tracer
}

// NewNoopTracer makes none.
func NewNoopTracer() *Tracer { return &Tracer{noop.NewTracerProvider().Tracer("")} }

// NewTracer makes spans that are written to w as lines of JSON; end writes the last ones.
func NewTracer(w io.Writer, node string) (t *Tracer, end func(context.Context) error, err error) {
	out, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, nil, fmt.Errorf("tracing: %w", err)
	}
	p := sdk.NewTracerProvider(sdk.WithBatcher(out), sdk.WithIDGenerator(deterministicIDs{}))
	return &Tracer{p.Tracer("cherrywall/runs", trace.WithInstrumentationAttributes(attribute.String("node", node)))}, p.Shutdown, nil
}

// deterministicIDs takes ids from the context of what begins.
type deterministicIDs struct{}

type spanContextKey struct{}

func (deterministicIDs) NewIDs(ctx context.Context) (trace.TraceID, trace.SpanID) {
	sc, _ := ctx.Value(spanContextKey{}).(trace.SpanContext)
	return sc.TraceID(), sc.SpanID()
}

func (f deterministicIDs) NewSpanID(ctx context.Context, _ trace.TraceID) trace.SpanID {
	_, id := f.NewIDs(ctx)
	return id
}

// spanContextOf are those of a part of a run.
func spanContextOf(run, part string) trace.SpanContext {
	var tid trace.TraceID
	var sid trace.SpanID
	binary.BigEndian.PutUint64(tid[:8], xxhash.Sum64String(run))
	binary.BigEndian.PutUint64(tid[8:], xxhash.Sum64String(run+"#"))
	binary.BigEndian.PutUint64(sid[:], xxhash.Sum64String(run+"/"+part))
	return trace.NewSpanContext(trace.SpanContextConfig{TraceID: tid, SpanID: sid, TraceFlags: trace.FlagsSampled, Remote: true})
}

// emitSpan makes a span that is over: part of another one of the run, or the run itself.
func (t *Tracer) emitSpan(run, part, under, name string, from, to time.Time, failed string, attrs ...attribute.KeyValue) {
	ctx := context.Background()
	if under != part {
		ctx = trace.ContextWithRemoteSpanContext(ctx, spanContextOf(run, under))
	}
	ctx = context.WithValue(ctx, spanContextKey{}, spanContextOf(run, part))
	_, s := t.tracer.Start(ctx, name, trace.WithTimestamp(from), trace.WithAttributes(attrs...))
	if failed != "" {
		s.SetStatus(codes.Error, failed)
	}
	s.End(trace.WithTimestamp(to))
}

// StartTimes are when the parts of a run began, as far as its present leader has seen.
type StartTimes struct {
	job, attempt map[int]time.Time
	stage        map[int][2]time.Time
}

// NewStartTimes are those of a leader that has seen nothing.
func NewStartTimes() StartTimes {
	return StartTimes{map[int]time.Time{}, map[int]time.Time{}, map[int][2]time.Time{}}
}

const runSpan = "run"

// RecordStep makes the spans of what has come to its end in a step.
func (t *Tracer) RecordStep(id string, startTimes *StartTimes, plan *pipeline.Plan, before, after []pipelineexec.JobState, now time.Time) {
	for i, a := range after {
		b, job := before[i], &plan.Jobs[i]
		if b == a {
			continue
		}
		part := fmt.Sprintf("job/%d", i)
		try := func(x pipelineexec.JobState, failed string) {
			t.emitSpan(id, fmt.Sprintf("%s/%d", part, x.Attempt), part, "try", startTimes.attempt[i], now, failed, attribute.Int("try", x.Attempt),
				attribute.String("submission", pipelineexec.JobRef(id, i, x)))
		}
		begun := a.Status == pipelineexec.Active || a.Status == pipelineexec.Stopping
		if begun && startTimes.job[i].IsZero() {
			startTimes.job[i] = now
		}
		if begun && (startTimes.attempt[i].IsZero() || a.Attempt != b.Attempt) {
			if !startTimes.attempt[i].IsZero() {
				try(b, string(b.Cause))
			}
			startTimes.attempt[i] = now
		}
		if !a.Status.IsFinal() || b.Status.IsFinal() || startTimes.job[i].IsZero() {
			continue
		}
		failed := ""
		if a.Status == pipelineexec.Failed {
			failed = string(a.Cause)
		}
		try(a, failed)
		stage := fmt.Sprintf("stage/%d", job.Stage)
		t.emitSpan(id, part, stage, job.Name, startTimes.job[i], now, failed, attribute.String("status", a.Status.String()), attribute.Int("tasks", job.Spec.Tasks),
			attribute.String("class", job.Spec.Class))
		s, seen := startTimes.stage[job.Stage]
		if !seen || startTimes.job[i].Before(s[0]) {
			s[0] = startTimes.job[i]
		}
		s[1] = now
		startTimes.stage[job.Stage] = s
	}
}

// RecordEnd makes the spans of the stages and of the run.
func (t *Tracer) RecordEnd(id, name, status string, startTimes *StartTimes, plan *pipeline.Plan, from, to time.Time) {
	for stage, s := range startTimes.stage {
		t.emitSpan(id, fmt.Sprintf("stage/%d", stage), runSpan, plan.Stages[stage], s[0], s[1], "")
	}
	failed := ""
	if status == pipelineexec.RunFailed {
		failed = status
	}
	t.emitSpan(id, runSpan, runSpan, name, from, to, failed,
		attribute.String("run", id), attribute.String("status", status))
}
