package fake

import (
	"context"
	"log/slog"
	"strings"

	"cherrywall/internal/decisionlog"
)

// invariantHandler passes log records on, and reports those of invariants that a controller itself has
// found violated.
type invariantHandler struct {
	slog.Handler
	report func(violation string)
}

// Enabled keeps errors whatever the next handler does with them.
func (h invariantHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return level >= slog.LevelError || h.Handler.Enabled(ctx, level)
}

// Handle reports a violation and passes the record on.
func (h invariantHandler) Handle(ctx context.Context, record slog.Record) error {
	if record.Message == decisionlog.ViolationMessage {
		h.report(describeRecord(record))
	}
	if !h.Handler.Enabled(ctx, record.Level) {
		return nil
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs returns a handler whose records have further attributes.
func (h invariantHandler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return invariantHandler{h.Handler.WithAttrs(attributes), h.report}
}

// WithGroup returns a handler whose records' attributes are in a group.
func (h invariantHandler) WithGroup(name string) slog.Handler {
	return invariantHandler{h.Handler.WithGroup(name), h.report}
}

// describeRecord returns a record as text, without the decisions that led to it.
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
