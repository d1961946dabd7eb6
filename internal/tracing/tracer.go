// Package tracing makes traces of runs of pipeline files: a span for the run, below it those of its
// stages, their jobs and the attempts of these. Spans are made when they have ended.
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

// runSpan is the name by which the span of a whole run is identified.
const runSpan = "run"

// Tracer makes spans of runs, stages, jobs and attempts. The ids of the spans are derived from the
// run's id, so that the spans of several leaders in turn make one trace.
type Tracer struct {
	tracer trace.Tracer
}

// NewNoopTracer returns a tracer without output.
func NewNoopTracer() *Tracer { return &Tracer{noop.NewTracerProvider().Tracer("")} }

// NewTracer returns a tracer that writes its spans to w as lines of JSON, in batches. shutdown writes
// what has not been written yet; it must be called before the process ends.
func NewTracer(w io.Writer, node string) (t *Tracer, shutdown func(context.Context) error, err error) {
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, nil, fmt.Errorf("tracing: %w", err)
	}
	provider := sdk.NewTracerProvider(sdk.WithBatcher(exporter), sdk.WithIDGenerator(deterministicIDs{}))
	tracer := provider.Tracer("cherrywall/runs", trace.WithInstrumentationAttributes(attribute.String("node", node)))
	return &Tracer{tracer}, provider.Shutdown, nil
}

// deterministicIDs takes the ids of a span from the context in which it is started, see emit.
type deterministicIDs struct{}

type spanContextKey struct{}

// NewIDs implements sdk.IDGenerator.
func (deterministicIDs) NewIDs(ctx context.Context) (trace.TraceID, trace.SpanID) {
	spanContext, _ := ctx.Value(spanContextKey{}).(trace.SpanContext)
	return spanContext.TraceID(), spanContext.SpanID()
}

// NewSpanID implements sdk.IDGenerator.
func (g deterministicIDs) NewSpanID(ctx context.Context, _ trace.TraceID) trace.SpanID {
	_, id := g.NewIDs(ctx)
	return id
}

// spanContextOf returns the ids of a span of a run.
func spanContextOf(run, span string) trace.SpanContext {
	var traceID trace.TraceID
	var spanID trace.SpanID
	binary.BigEndian.PutUint64(traceID[:8], xxhash.Sum64String(run))
	binary.BigEndian.PutUint64(traceID[8:], xxhash.Sum64String(run+"#"))
	binary.BigEndian.PutUint64(spanID[:], xxhash.Sum64String(run+"/"+span))
	return trace.NewSpanContext(trace.SpanContextConfig{TraceID: traceID, SpanID: spanID, TraceFlags: trace.FlagsSampled, Remote: true})
}

// interval is the time from the start to the end of a span.
type interval struct{ start, end time.Time }

// span is a span that has ended.
type span struct {
	id, parent string // unique within the run; equal in the span of the run itself
	name       string
	interval
	failure    string // "" unless it failed
	attributes []attribute.KeyValue
}

// emit passes a span to the exporter. Its ids are derived from those of the run and the span.
func (t *Tracer) emit(run string, s span) {
	ctx := context.Background()
	if s.parent != s.id {
		ctx = trace.ContextWithRemoteSpanContext(ctx, spanContextOf(run, s.parent))
	}
	ctx = context.WithValue(ctx, spanContextKey{}, spanContextOf(run, s.id))
	_, started := t.tracer.Start(ctx, s.name, trace.WithTimestamp(s.start), trace.WithAttributes(s.attributes...))
	if s.failure != "" {
		started.SetStatus(codes.Error, s.failure)
	}
	started.End(trace.WithTimestamp(s.end))
}

// StartTimes are when the jobs, attempts and stages of a run started, as far as its current leader
// has observed.
type StartTimes struct {
	job, attempt map[int]time.Time // by job
	stage        map[int]interval
}

// NewStartTimes returns those of a leader that has observed nothing.
func NewStartTimes() StartTimes {
	return StartTimes{job: map[int]time.Time{}, attempt: map[int]time.Time{}, stage: map[int]interval{}}
}

// RecordStep makes the spans of the attempts and jobs that have ended in a step, which changed the
// job states from before to after. It adds to startTimes what has started.
func (t *Tracer) RecordStep(run string, startTimes *StartTimes, plan *pipeline.Plan, before, after []pipelineexec.JobState, now time.Time) {
	for job := range after {
		if before[job] != after[job] {
			t.recordChange(run, startTimes, plan, job, before[job], after[job], now)
		}
	}
}

func (t *Tracer) recordChange(run string, startTimes *StartTimes, plan *pipeline.Plan, job int, before, after pipelineexec.JobState, now time.Time) {
	inProgress := after.Status == pipelineexec.Active || after.Status == pipelineexec.Stopping
	if inProgress && startTimes.job[job].IsZero() {
		startTimes.job[job] = now
	}
	if attemptStart := startTimes.attempt[job]; inProgress && (attemptStart.IsZero() || after.Attempt != before.Attempt) {
		if !attemptStart.IsZero() {
			t.emitAttempt(run, job, before, interval{attemptStart, now}, string(before.Cause))
		}
		startTimes.attempt[job] = now
	}
	if !after.Status.IsFinal() || before.Status.IsFinal() || startTimes.job[job].IsZero() {
		return
	}
	failure := ""
	if after.Status == pipelineexec.Failed {
		failure = string(after.Cause)
	}
	t.emitAttempt(run, job, after, interval{startTimes.attempt[job], now}, failure)
	t.emitJob(run, job, &plan.Jobs[job], after.Status, interval{startTimes.job[job], now}, failure)
	startTimes.extendStage(plan.Jobs[job].Stage, startTimes.job[job], now)
}

// extendStage extends the interval of a stage by that of one of its jobs.
func (s *StartTimes) extendStage(stage int, start, end time.Time) {
	lasted, known := s.stage[stage]
	if !known || start.Before(lasted.start) {
		lasted.start = start
	}
	lasted.end = end
	s.stage[stage] = lasted
}

func (t *Tracer) emitAttempt(run string, job int, state pipelineexec.JobState, lasted interval, failure string) {
	t.emit(run, span{
		id:       fmt.Sprintf("%s/%d", jobSpan(job), state.Attempt),
		parent:   jobSpan(job),
		name:     "try",
		interval: lasted,
		failure:  failure,
		attributes: []attribute.KeyValue{
			attribute.Int("try", state.Attempt),
			attribute.String("submission", pipelineexec.JobRef(run, job, state)),
		},
	})
}

func (t *Tracer) emitJob(run string, index int, job *pipeline.Job, status pipelineexec.Status, lasted interval, failure string) {
	t.emit(run, span{
		id:       jobSpan(index),
		parent:   stageSpan(job.Stage),
		name:     job.Name,
		interval: lasted,
		failure:  failure,
		attributes: []attribute.KeyValue{
			attribute.String("status", status.String()),
			attribute.Int("tasks", job.Spec.Tasks),
			attribute.String("class", job.Spec.Class),
		},
	})
}

func jobSpan(job int) string     { return fmt.Sprintf("job/%d", job) }
func stageSpan(stage int) string { return fmt.Sprintf("stage/%d", stage) }

// RecordEnd makes the spans of the stages and of the run itself. It is called once, by the leader that
// has written the run's final record.
func (t *Tracer) RecordEnd(run, name string, status pipelineexec.RunStatus, startTimes *StartTimes, plan *pipeline.Plan, start, end time.Time) {
	for stage, lasted := range startTimes.stage {
		t.emit(run, span{id: stageSpan(stage), parent: runSpan, name: plan.Stages[stage], interval: lasted})
	}
	failure := ""
	if status == pipelineexec.RunFailed {
		failure = string(status)
	}
	t.emit(run, span{
		id:         runSpan,
		parent:     runSpan,
		name:       name,
		interval:   interval{start, end},
		failure:    failure,
		attributes: []attribute.KeyValue{attribute.String("run", run), attribute.String("status", string(status))},
	})
}
