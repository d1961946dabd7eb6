// Package machinetype keeps a controller's catalog of machine types: their capacity and price,
// as last read from the cloud or as recorded in the key-value store, and their boot times. It
// decides when a record is out of date; the owner of the catalog writes it.
package machinetype

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/cloud"
	"cherrywall/internal/tuning"
)

// learnedCycles is the number of demand checks of the autoscaler for which learned boot times
// are worth recording.
const learnedCycles = 3

// Catalog is the catalog of machine types. It has no locks: one actor owns it.
type Catalog struct {
	byName    map[string]cloud.MachineType
	fromCloud []cloud.MachineType // as last read from the cloud, nil before; takes precedence over the record

	typesRecord   RecordState
	recordedTypes []cloud.MachineType

	bootTimesRecord   RecordState
	recordedBootTimes map[string]float64 // seconds by machine type
	learnedBootTimes  map[string]float64 // seconds by machine type, from this controller's autoscaler
	learnedAt         time.Time
}

// RecordState is the state of a durable record.
type RecordState struct {
	// Revision is the revision of the last write that was applied, 0 if there is none.
	Revision uint64
	// WriteInFlight is set by the writer of the record while a write is under way.
	WriteInFlight bool
}

// New returns an empty catalog.
func New() *Catalog { return &Catalog{byName: map[string]cloud.MachineType{}} }

// SetFromCloud sets the types as read from the cloud.
func (c *Catalog) SetFromCloud(types []cloud.MachineType) {
	c.fromCloud = types
	c.merge(types)
}

func (c *Catalog) merge(types []cloud.MachineType) {
	for _, machineType := range types {
		c.byName[machineType.Name] = machineType
	}
}

// All returns the types by name. The map belongs to the catalog and must not be changed.
func (c *Catalog) All() map[string]cloud.MachineType { return c.byName }

// Get returns a type by its name, and whether it is known.
func (c *Catalog) Get(typeName string) (cloud.MachineType, bool) {
	machineType, ok := c.byName[typeName]
	return machineType, ok
}

// Capacity returns the resources of a machine of the type, and whether the type is known.
func (c *Catalog) Capacity(typeName string) (capacity.Resources, bool) {
	machineType, ok := c.byName[typeName]
	return machineType.Total(), ok
}

// BootSeconds returns the expected boot time of a type in seconds: the recorded one, otherwise
// the one that the cloud states. It is 0 for an unknown type.
func (c *Catalog) BootSeconds(typeName string) float64 {
	if seconds, ok := c.recordedBootTimes[typeName]; ok {
		return seconds
	}
	return c.byName[typeName].StartupS
}

// LongestBootSeconds returns the expected boot time of the slowest type in seconds.
func (c *Catalog) LongestBootSeconds() float64 {
	longest := 0.0
	for typeName := range c.byName {
		longest = max(longest, c.BootSeconds(typeName))
	}
	return longest
}

// RecordedBootTimes returns the recorded boot times in seconds by type, nil if there are none.
func (c *Catalog) RecordedBootTimes() map[string]float64 { return c.recordedBootTimes }

// TypesToRecord returns the value to record for the types and the state of the record, which
// the writer updates. value is nil if the record is up to date or being written. A change of
// prices alone is not recorded, since prices change all the time.
//
// Without the record, a controller that starts while the cloud is unavailable could neither
// validate submissions nor place a task.
func (c *Catalog) TypesToRecord() (value json.RawMessage, record *RecordState, err error) {
	types := slices.Clone(c.fromCloud)
	slices.SortFunc(types, func(x, y cloud.MachineType) int { return strings.Compare(x.Name, y.Name) })
	isRecorded := slices.EqualFunc(types, c.recordedTypes, equalExceptPrices)
	if isRecorded || len(types) == 0 || c.typesRecord.WriteInFlight {
		return nil, nil, nil
	}
	if value, err = json.Marshal(types); err != nil {
		return nil, nil, fmt.Errorf("encode machine types: %w", err)
	}
	return value, &c.typesRecord, nil
}

// equalExceptPrices reports whether two types differ at most in their prices.
func equalExceptPrices(x, y cloud.MachineType) bool {
	x.HourlyPrice, x.SpotHourlyPrice, y.HourlyPrice, y.SpotHourlyPrice = 0, 0, 0, 0
	encodedX, errX := json.Marshal(x)
	encodedY, errY := json.Marshal(y)
	return errX == nil && errY == nil && bytes.Equal(encodedX, encodedY)
}

// ApplyTypesRecord applies the types record of a revision; one that is not newer than the last
// is ignored. changed reports whether the catalog uses the recorded types, which it does until
// it has types from the cloud.
func (c *Catalog) ApplyTypesRecord(value json.RawMessage, revision uint64) (changed bool, err error) {
	if revision <= c.typesRecord.Revision {
		return false, nil
	}
	var types []cloud.MachineType
	if err := json.Unmarshal(value, &types); err != nil {
		return false, fmt.Errorf("decode machine types: %w", err)
	}
	c.recordedTypes, c.typesRecord.Revision = types, revision
	if c.fromCloud != nil {
		return false, nil
	}
	c.merge(types)
	return true, nil
}

// LearnBootTimes sets the boot times, in seconds by type, that the autoscaler of this controller
// has learned.
func (c *Catalog) LearnBootTimes(bootSeconds map[string]float64, now time.Time) {
	c.learnedBootTimes, c.learnedAt = bootSeconds, now
}

// BootTimesToRecord returns the value to record for the boot times and the state of the record,
// which the writer updates. value is nil unless the boot times changed considerably. All
// controllers size their buffers by the record, and the next autoscaler starts with it.
func (c *Catalog) BootTimesToRecord(now time.Time) (value json.RawMessage, record *RecordState, err error) {
	// A controller that lost the autoscaler lease learns no more, and must not overwrite the
	// record of the one that holds it.
	isOutdated := now.Sub(c.learnedAt) > learnedCycles*tuning.DemandCheckInterval
	if !c.bootTimesChanged() || c.bootTimesRecord.WriteInFlight || isOutdated {
		return nil, nil, nil
	}
	if value, err = json.Marshal(c.learnedBootTimes); err != nil {
		return nil, nil, fmt.Errorf("encode boot times: %w", err)
	}
	return value, &c.bootTimesRecord, nil
}

// bootTimesChanged reports whether a learned boot time differs enough from the recorded one.
func (c *Catalog) bootTimesChanged() bool {
	for typeName, seconds := range c.learnedBootTimes {
		known := c.BootSeconds(typeName)
		if math.Abs(seconds-known) > tuning.BootTimeChangeFraction*known {
			return true
		}
	}
	return false
}

// ApplyBootTimesRecord applies the boot times record of a revision; one that is not newer than
// the last is ignored.
func (c *Catalog) ApplyBootTimesRecord(value json.RawMessage, revision uint64) error {
	if revision <= c.bootTimesRecord.Revision {
		return nil
	}
	var bootSeconds map[string]float64
	if err := json.Unmarshal(value, &bootSeconds); err != nil {
		return fmt.Errorf("decode boot times: %w", err)
	}
	c.recordedBootTimes, c.bootTimesRecord.Revision = bootSeconds, revision
	return nil
}
