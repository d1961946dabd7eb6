// Package decisionlog keeps the latest decisions of a controller in memory: what the controller decided, the
// knowledge on which it based the decision, and the reason. Operators read the decisions through the
// administration API. They are also logged when an invariant is violated.
package decisionlog

import (
	"context"
	"log/slog"
	"time"

	"cherrywall/internal/tuning"
)

// Action is the kind of a decision. The administration API shows the values, so they must not change.
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

// Decision is one decision and the knowledge that it was based on.
type Decision struct {
	At      time.Time `json:"at"`
	Action  Action    `json:"action"`
	Subject string    `json:"subject"` // the name of a task, job, machine or team
	Attempt uint64    `json:"attempt,omitempty"`
	Worker  string    `json:"worker,omitempty"`
	Shard   string    `json:"shard,omitempty"`
	Epoch   uint64    `json:"epoch,omitempty"` // the epoch of the shard
	// FencingToken is the fencing token that was sent to the worker; 0 if none was sent.
	FencingToken uint64 `json:"token,omitempty"`
	// StoreRevision is the revision of the key-value store that the state cache had reached. KnownAt
	// is the time as of which the state cache was consistent with the store.
	StoreRevision uint64    `json:"revision,omitempty"`
	KnownAt       time.Time `json:"known_at,omitzero"`
	Reason        string    `json:"reason,omitempty"`
}

// Log keeps the latest tuning.DecisionLogEntries decisions. It is not safe for concurrent use: a single
// actor owns it.
type Log struct {
	logger  *slog.Logger
	entries [tuning.DecisionLogEntries]Decision
	count   uint64 // number of all decisions added so far
}

// New returns an empty log. Each added decision is also logged to logger at debug level.
func New(logger *slog.Logger) *Log { return &Log{logger: logger} }

// Add sets the time of a decision to now and adds the decision. If the log is full, the new decision
// replaces the oldest one.
func (l *Log) Add(decision Decision) {
	decision.At = time.Now()
	l.entries[l.count%uint64(len(l.entries))] = decision
	l.count++
	if l.logger.Enabled(context.Background(), slog.LevelDebug) {
		l.logger.Debug("decision", "action", decision.Action, "subject", decision.Subject, "attempt", decision.Attempt,
			"worker", decision.Worker, "shard", decision.Shard, "epoch", decision.Epoch, "token", decision.FencingToken,
			"revision", decision.StoreRevision, "known_at", decision.KnownAt, "reason", decision.Reason)
	}
}

// Count returns the number of all decisions added so far.
func (l *Log) Count() uint64 { return l.count }

// Latest returns the latest decisions, at most limit, sorted from the oldest to the newest.
func (l *Log) Latest(limit int) []Decision {
	keptCount := min(l.count, uint64(len(l.entries)), uint64(max(0, limit)))
	latest := make([]Decision, 0, keptCount)
	for i := l.count - keptCount; i < l.count; i++ {
		latest = append(latest, l.entries[i%uint64(len(l.entries))])
	}
	return latest
}
