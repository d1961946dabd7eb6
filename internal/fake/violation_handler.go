package fake

import (
	"context"
	"log/slog"
	"strings"

	"cherrywall/internal/decisionlog"
)

// violationHandler passes log records on to another handler, and reports the invariant violations that
// a controller logs.
type violationHandler struct {
	slog.Handler
	report func(violation string)
}

// Enabled returns true for errors even if the next handler drops them: violations are logged as errors.
func (h violationHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return level >= slog.LevelError || h.Handler.Enabled(ctx, level)
}

// Handle reports a record that logs a violation. It passes each record on if the next handler is enabled for the
// level of the record.
func (h violationHandler) Handle(ctx context.Context, record slog.Record) error {
	if record.Message == decisionlog.ViolationMessage {
		h.report(describeRecord(record))
	}
	if !h.Handler.Enabled(ctx, record.Level) {
		return nil
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs returns a handler that adds attributes to its records.
func (h violationHandler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return violationHandler{h.Handler.WithAttrs(attributes), h.report}
}

// WithGroup returns a handler that puts the attributes of its records into a group.
func (h violationHandler) WithGroup(name string) slog.Handler {
	return violationHandler{h.Handler.WithGroup(name), h.report}
}

// describeRecord returns the message and the attributes of a violation's record, without the decisions that led
// to the violation.
func describeRecord(record slog.Record) string {
	var text strings.Builder
	text.WriteString(record.Message)
	record.Attrs(func(attribute slog.Attr) bool {
		if attribute.Key != "decisions" {
			text.WriteString(" " + attribute.String())
		}
		return true
	})
	return text.String()
}
