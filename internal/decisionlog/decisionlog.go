// Package decisionlog keeps the latest decisions of a controller in memory: what it sent, released,
// acquired or confirmed, on which knowledge, and why that was allowed. Operators read it through the
// administration API, and it is logged when an invariant is violated.
package decisionlog

import (
	"context"
	"log/slog"
	"time"

	"cherrywall/internal/tuning"
)

// Action is what was decided. Actions are output of the administration API and keep their form.
type Action string

// The actions that are recorded.
const (
	StartSent             Action = "start sent"
	StartRefused          Action = "start refused"
	StopSent              Action = "stop sent"
	TaskLeft              Action = "task left"
	LeaseExpired          Action = "lease expired"
	MachineReleased       Action = "machine released"
	AllocationSent        Action = "allocation sent"
	AllocationStored      Action = "allocation stored"
	AllocationFailed      Action = "allocation failed"
	CancellationConfirmed Action = "cancellation confirmed"
)

// Decision is one decision and the knowledge that it rests on.
type Decision struct {
	At      time.Time `json:"at"`
	Action  Action    `json:"action"`
	Subject string    `json:"subject"` // a task, job, machine or team
	Attempt uint64    `json:"attempt,omitempty"`
	Worker  string    `json:"worker,omitempty"`
	Shard   string    `json:"shard,omitempty"`
	Epoch   uint64    `json:"epoch,omitempty"` // of the shard
	// FencingToken is the one that was sent to the worker, 0 for none.
	FencingToken uint64 `json:"token,omitempty"`
	// StoreRevision is the revision that the cache of the store had reached, and KnownAt the time as of
	// which the cache was consistent with the store.
	StoreRevision uint64    `json:"revision,omitempty"`
	KnownAt       time.Time `json:"known_at,omitzero"`
	Reason        string    `json:"reason,omitempty"`
}

// Log keeps the latest decisions. It is not safe for concurrent use: one actor owns it.
type Log struct {
	log     *slog.Logger
	entries [tuning.DecisionLogEntries]Decision
	count   uint64 // of all decisions that were ever added
}

// New returns an empty log. Each decision is also a debug line of log.
func New(log *slog.Logger) *Log { return &Log{log: log} }

// Add adds a decision, in place of the oldest one if the log is full.
func (l *Log) Add(decision Decision) {
	decision.At = time.Now()
	l.entries[l.count%uint64(len(l.entries))] = decision
	l.count++
	if l.log.Enabled(context.Background(), slog.LevelDebug) {
		l.log.Debug("decision", "action", decision.Action, "subject", decision.Subject, "attempt", decision.Attempt,
			"worker", decision.Worker, "shard", decision.Shard, "epoch", decision.Epoch, "token", decision.FencingToken,
			"revision", decision.StoreRevision, "known_at", decision.KnownAt, "reason", decision.Reason)
	}
}

// Count returns how many decisions were ever added.
func (l *Log) Count() uint64 { return l.count }

// Latest returns the latest decisions, limit at most, the oldest of them first.
func (l *Log) Latest(limit int) []Decision {
	kept := min(l.count, uint64(len(l.entries)), uint64(max(0, limit)))
	latest := make([]Decision, 0, kept)
	for i := l.count - kept; i < l.count; i++ {
		latest = append(latest, l.entries[i%uint64(len(l.entries))])
	}
	return latest
}
