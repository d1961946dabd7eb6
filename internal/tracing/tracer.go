// Package tracing creates traces of runs of pipeline files. A trace has a span for the run; its
// descendants are the spans of the stages, of their jobs, and of the attempts of each job. The span
// of a run, stage, job or attempt is created when the run, stage, job or attempt has ended.
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

// runSpanID identifies the span of a whole run within the run.
const runSpanID = "run"

// Tracer creates the spans of runs, stages, jobs and attempts. The ids of the spans are derived
// from the run's id, so that the spans of a run form one trace even if several leaders create them
// in turn.
type Tracer struct {
	tracer trace.Tracer
}

// NewNoopTracer returns a tracer without output.
func NewNoopTracer() *Tracer { return &Tracer{noop.NewTracerProvider().Tracer("")} }

// NewTracer returns a tracer that writes its spans to w as lines of JSON, in batches. shutdown
// writes the spans that have not been written yet; it must be called before the process ends.
func NewTracer(w io.Writer, node string) (t *Tracer, shutdown func(context.Context) error, err error) {
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, nil, fmt.Errorf("tracing: %w", err)
	}
	provider := sdk.NewTracerProvider(sdk.WithBatcher(exporter), sdk.WithIDGenerator(deterministicIDs{}))
	tracer := provider.Tracer("cherrywall/runs", trace.WithInstrumentationAttributes(attribute.String("node", node)))
	return &Tracer{tracer}, provider.Shutdown, nil
}

// deterministicIDs takes the ids of a span from the context in which the span is started. emit stores
// them there.
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
func spanContextOf(runID, span string) trace.SpanContext {
	var traceID trace.TraceID
	var spanID trace.SpanID
	binary.BigEndian.PutUint64(traceID[:8], xxhash.Sum64String(runID))
	binary.BigEndian.PutUint64(traceID[8:], xxhash.Sum64String(runID+"#"))
	binary.BigEndian.PutUint64(spanID[:], xxhash.Sum64String(runID+"/"+span))
	return trace.NewSpanContext(trace.SpanContextConfig{TraceID: traceID, SpanID: spanID, TraceFlags: trace.FlagsSampled, Remote: true})
}

// interval is the time from the start to the end of a span.
type interval struct{ start, end time.Time }

// span is a span that has ended.
type span struct {
	id, parent string // ids of the span and its parent, unique within the run; in the span of the run itself, both are runSpanID
	name       string
	interval
	failure    string // reason of the failure, "" if the span did not fail
	attributes []attribute.KeyValue
}

// emit passes a span to the exporter. The exported ids are derived from the ids of the run and the span.
func (t *Tracer) emit(runID string, s span) {
	ctx := context.Background()
	if s.parent != s.id {
		ctx = trace.ContextWithRemoteSpanContext(ctx, spanContextOf(runID, s.parent))
	}
	ctx = context.WithValue(ctx, spanContextKey{}, spanContextOf(runID, s.id))
	_, otelSpan := t.tracer.Start(ctx, s.name, trace.WithTimestamp(s.start), trace.WithAttributes(s.attributes...))
	if s.failure != "" {
		otelSpan.SetStatus(codes.Error, s.failure)
	}
	otelSpan.End(trace.WithTimestamp(s.end))
}

// StartTimes contains the times at which the jobs, attempts and stages of a run started, as far as
// the run's current leader has observed them.
type StartTimes struct {
	jobs, attempts map[int]time.Time // starts of the jobs and of their current attempts, by the index of the job in the plan
	stages         map[int]interval  // by the index of the stage in the plan
}

// NewStartTimes returns the start times of a leader that has observed nothing yet.
func NewStartTimes() StartTimes {
	return StartTimes{jobs: map[int]time.Time{}, attempts: map[int]time.Time{}, stages: map[int]interval{}}
}

// RecordStep creates the spans of the attempts and jobs that have ended in a step, which changed
// the job states from before to after. It also updates startTimes.
func (t *Tracer) RecordStep(runID string, startTimes *StartTimes, plan *pipeline.Plan, before, after []pipelineexec.JobState, now time.Time) {
	for job := range after {
		if before[job] != after[job] {
			t.recordJobChange(runID, startTimes, plan, job, before[job], after[job], now)
		}
	}
}

func (t *Tracer) recordJobChange(runID string, startTimes *StartTimes, plan *pipeline.Plan, job int, before, after pipelineexec.JobState, now time.Time) {
	isInProgress := after.Status == pipelineexec.Active || after.Status == pipelineexec.Stopping
	if isInProgress && startTimes.jobs[job].IsZero() {
		startTimes.jobs[job] = now
	}
	if attemptStart := startTimes.attempts[job]; isInProgress && (attemptStart.IsZero() || after.Attempt != before.Attempt) {
		if !attemptStart.IsZero() {
			t.emitAttempt(runID, job, before, interval{attemptStart, now}, string(before.Cause))
		}
		startTimes.attempts[job] = now
	}
	if !after.Status.IsFinal() || before.Status.IsFinal() || startTimes.jobs[job].IsZero() {
		return
	}
	failure := ""
	if after.Status == pipelineexec.Failed {
		failure = string(after.Cause)
	}
	t.emitAttempt(runID, job, after, interval{startTimes.attempts[job], now}, failure)
	t.emitJob(runID, job, &plan.Jobs[job], after.Status, interval{startTimes.jobs[job], now}, failure)
	startTimes.extendStage(plan.Jobs[job].Stage, startTimes.jobs[job], now)
}

// extendStage extends the interval of a stage so that it includes the interval of one of its jobs.
func (s *StartTimes) extendStage(stage int, start, end time.Time) {
	period, isKnown := s.stages[stage]
	if !isKnown || start.Before(period.start) {
		period.start = start
	}
	period.end = end
	s.stages[stage] = period
}

func (t *Tracer) emitAttempt(runID string, job int, state pipelineexec.JobState, period interval, failure string) {
	t.emit(runID, span{
		id:       fmt.Sprintf("%s/%d", jobSpanID(job), state.Attempt),
		parent:   jobSpanID(job),
		name:     "try",
		interval: period,
		failure:  failure,
		attributes: []attribute.KeyValue{
			attribute.Int("try", state.Attempt),
			attribute.String("submission", pipelineexec.JobRef(runID, job, state)),
		},
	})
}

func (t *Tracer) emitJob(runID string, index int, job *pipeline.Job, status pipelineexec.Status, period interval, failure string) {
	t.emit(runID, span{
		id:       jobSpanID(index),
		parent:   stageSpanID(job.Stage),
		name:     job.Name,
		interval: period,
		failure:  failure,
		attributes: []attribute.KeyValue{
			attribute.String("status", status.String()),
			attribute.Int("tasks", job.Spec.Tasks),
			attribute.String("class", job.Spec.Class),
		},
	})
}

func jobSpanID(job int) string     { return fmt.Sprintf("job/%d", job) }
func stageSpanID(stage int) string { return fmt.Sprintf("stage/%d", stage) }

// RecordEnd creates the spans of the stages and of the run itself. It is called once, by the leader
// that has written the run's final record.
func (t *Tracer) RecordEnd(runID, name string, status pipelineexec.RunStatus, startTimes *StartTimes, plan *pipeline.Plan, start, end time.Time) {
	for stage, period := range startTimes.stages {
		t.emit(runID, span{id: stageSpanID(stage), parent: runSpanID, name: plan.Stages[stage], interval: period})
	}
	failure := ""
	if status == pipelineexec.RunFailed {
		failure = string(status)
	}
	t.emit(runID, span{
		id:         runSpanID,
		parent:     runSpanID,
		name:       name,
		interval:   interval{start, end},
		failure:    failure,
		attributes: []attribute.KeyValue{attribute.String("run", runID), attribute.String("status", string(status))},
	})
}
