// Package featuregate decides whether all controllers run a program that can read what this one
// writes. Until each of them has recorded its version durably, nothing may be written that the
// previous version could not read. Which controllers are live does not matter: one that is down
// may come back with its old program.
package featuregate

import (
	"encoding/json"
	"fmt"
	"slices"

	"cherrywall/internal/kvstore"
)

const (
	// Version is the version of what this program reads and writes: 2 knows jobs with
	// dependencies and records in chunks.
	Version = 2

	// unrecordedVersion is the version of earlier programs, which write no version record.
	unrecordedVersion = 1
)

// Gate holds the versions of all controllers. It has no locks: all methods are called by the actor
// that owns it.
type Gate struct {
	self        string
	controllers []string // sorted
	records     map[string]versionRecord
}

// versionRecord is a controller's version as it is stored, and the record's revision.
type versionRecord struct {
	Version  int `json:"v"`
	revision uint64
}

// EncodeVersionRecord returns the version record that this program writes.
func EncodeVersionRecord() json.RawMessage { return kvstore.Encode(versionRecord{Version: Version}) }

// New makes the gate of the controller self, one of the given controllers.
func New(self string, controllers []string) *Gate {
	g := &Gate{self: self, controllers: slices.Sorted(slices.Values(controllers))}
	g.Reset()
	return g
}

// Reset removes all records before they are loaded anew.
func (g *Gate) Reset() { g.records = map[string]versionRecord{} }

// ApplyRecord applies a controller's version record as of a revision. A record no newer than the
// known one is ignored.
func (g *Gate) ApplyRecord(controller string, value json.RawMessage, revision uint64) error {
	if g.records[controller].revision >= revision {
		return nil
	}
	record := versionRecord{revision: revision}
	if err := json.Unmarshal(value, &record); err != nil {
		return fmt.Errorf("version of %s: %w", controller, err)
	}
	g.records[controller] = record
	return nil
}

// RecordDue reports whether this controller's version is still to be recorded, and the revision
// of its record (0: it has none).
func (g *Gate) RecordDue() (revision uint64, due bool) {
	record := g.records[g.self]
	return record.revision, record.Version < Version
}

// IsOpen reports whether all controllers have recorded this program's version or a later one.
func (g *Gate) IsOpen() bool { return len(g.PendingControllers()) == 0 }

// PendingControllers returns the controllers that have recorded no version or an older one than this
// program's, in ascending order of their names.
func (g *Gate) PendingControllers() []string {
	var pending []string
	for _, controller := range g.controllers {
		if g.records[controller].Version < Version {
			pending = append(pending, controller)
		}
	}
	return pending
}

// VersionOf returns the version that a controller has recorded. One without a record runs the
// version before records existed.
func (g *Gate) VersionOf(controller string) int {
	return max(unrecordedVersion, g.records[controller].Version)
}
