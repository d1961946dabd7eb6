// Package featuregate decides whether all controllers run a program that can read what this program
// writes. Until each controller has durably recorded a version that can read a feature, nothing that
// belongs to the feature may be written. Controllers that are down count as well, because they may
// restart with their old program.
package featuregate

import (
	"encoding/json"
	"fmt"
	"slices"

	"cherrywall/internal/kvstore"
)

// Feature is something that earlier versions of the program can't read. Its value is the first version
// that can.
type Feature int

const (
	// Dependencies are jobs with dependencies, and records in chunks.
	Dependencies Feature = 2
	// MovedClaims are claims that move from a job's own record to a range record while tasks of the
	// job may be running. Earlier versions can read both forms, but may take the move for the end of
	// the claim.
	MovedClaims Feature = 3

	// Latest is the feature that was added last. If the gate is open for it, all controllers run this
	// version or a later one.
	Latest = MovedClaims
)

const (
	// Version is the version of the records and messages that this program reads and writes.
	Version = int(Latest)

	// unrecordedVersion is the version of the programs that write no version record.
	unrecordedVersion = 1
)

// Gate holds the recorded versions of all controllers. It is not safe for concurrent use: one actor
// owns it.
type Gate struct {
	self        string
	controllers []string // sorted
	records     map[string]versionRecord
}

// versionRecord is the stored form of a controller's version, with the revision of the record.
type versionRecord struct {
	Version  int `json:"v"`
	revision uint64
}

// EncodeVersionRecord returns the version record that this program writes.
func EncodeVersionRecord() json.RawMessage {
	return kvstore.MustEncode(versionRecord{Version: Version})
}

// New returns the gate of the controller self. controllers are all controllers of the cluster, including
// self.
func New(self string, controllers []string) *Gate {
	g := &Gate{self: self, controllers: slices.Sorted(slices.Values(controllers))}
	g.Reset()
	return g
}

// Reset removes all records. It is called before all records are read anew.
func (g *Gate) Reset() { g.records = map[string]versionRecord{} }

// ApplyRecord applies the version record of a controller at a revision. A record that is not newer than
// the known one is ignored. ApplyRecord returns an error if the record cannot be decoded.
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

// VersionRecordDue reports whether this controller must still record its version. revision is the revision of
// the controller's existing version record, 0 if there is none.
func (g *Gate) VersionRecordDue() (revision uint64, isDue bool) {
	record := g.records[g.self]
	return record.revision, record.Version < Version
}

// IsOpen reports whether all controllers have recorded a version that can read a feature.
func (g *Gate) IsOpen(feature Feature) bool { return len(g.PendingControllers(feature)) == 0 }

// PendingControllers returns the controllers that have recorded no version, or a version that can't read
// a feature, in ascending order of their names.
func (g *Gate) PendingControllers(feature Feature) []string {
	var pendingControllers []string
	for _, controller := range g.controllers {
		if g.records[controller].Version < int(feature) {
			pendingControllers = append(pendingControllers, controller)
		}
	}
	return pendingControllers
}

// VersionOf returns the version that a controller has recorded. A controller without a record is taken
// to run the last version that wrote no version record.
func (g *Gate) VersionOf(controller string) int {
	return max(unrecordedVersion, g.records[controller].Version)
}
