// Package gate tells whether all controllers run a program that knows what this one knows.
// Until each of them, the dead ones too, has said so in a durable record, nothing may be
// written that the version before could not carry. It is no question of who lives: a dead
// controller may come back as it was.
package featuregate

import (
	"encoding/json"
	"fmt"
	"slices"

	"cherrywall/internal/kvstore"
)

// Version is what this program can read and write: 2 knows dependent jobs and records in
// parts. The programs before it leave no mark.
const Version = 2

// Gate has no locks: one actor owns it.
type Gate struct {
	self        string
	controllers []string
	records     map[string]versionRecord
}

type versionRecord struct {
	Version  int `json:"v"`
	revision uint64
}

// EncodeVersionRecord is what a controller writes of itself.
func EncodeVersionRecord() json.RawMessage { return kvstore.Encode(versionRecord{Version: Version}) }

// New makes a gate of a controller among all of them.
func New(self string, names []string) *Gate {
	g := &Gate{self: self, controllers: slices.Sorted(slices.Values(names))}
	g.Reset()
	return g
}

// Reset forgets all records, to be read anew.
func (g *Gate) Reset() { g.records = map[string]versionRecord{} }

// ApplyRecord follows a controller's mark.
func (g *Gate) ApplyRecord(node string, value json.RawMessage, revision uint64) error {
	if g.records[node].revision >= revision {
		return nil
	}
	record := versionRecord{revision: revision}
	if err := json.Unmarshal(value, &record); err != nil {
		return fmt.Errorf("version of %s: %w", node, err)
	}
	g.records[node] = record
	return nil
}

// RecordDue tells whether this controller's mark is still to be written, and its stamp.
func (g *Gate) RecordDue() (revision uint64, due bool) {
	record := g.records[g.self]
	return record.revision, record.Version < Version
}

// IsOpen tells whether every controller has said that it knows what this one knows.
func (g *Gate) IsOpen() bool { return len(g.PendingControllers()) == 0 }

// PendingControllers are the controllers that have not.
func (g *Gate) PendingControllers() []string {
	var out []string
	for _, n := range g.controllers {
		if g.records[n].Version < Version {
			out = append(out, n)
		}
	}
	return out
}

// VersionOf is a controller's, 1 if it left no mark.
func (g *Gate) VersionOf(node string) int { return max(1, g.records[node].Version) }
