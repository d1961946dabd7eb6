// Package machinetype maintains a controller's catalog of machine types: their capacity and price, as
// last read from the cloud or as recorded in the key-value store, and their boot times. The catalog
// determines when a record is out of date; the owner of the catalog writes the record.
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

// maxLearnedBootTimesAgeIntervals is the age above which learned boot times are no longer recorded, in
// demand check intervals of the autoscaler.
const maxLearnedBootTimesAgeIntervals = 3

// Catalog is the catalog of machine types. It is not safe for concurrent use: one actor owns it.
type Catalog struct {
	byName     map[string]cloud.MachineType
	cloudTypes []cloud.MachineType // machine types as last read from the cloud, nil before the first read; they take precedence over the record

	typesRecord   RecordState
	recordedTypes []cloud.MachineType

	bootTimesRecord   RecordState
	recordedBootTimes map[string]float64 // seconds by machine type
	learnedBootTimes  map[string]float64 // seconds by machine type, from this controller's autoscaler
	learnedAt         time.Time
}

// RecordState is the state of a durable record.
type RecordState struct {
	// Revision is the revision of the last write that was applied, 0 if none was.
	Revision uint64
	// IsWriteInFlight is set by the writer of the record while a write is in flight.
	IsWriteInFlight bool
}

// New returns an empty catalog.
func New() *Catalog { return &Catalog{byName: map[string]cloud.MachineType{}} }

// SetCloudTypes sets the machine types that were read from the cloud.
func (c *Catalog) SetCloudTypes(types []cloud.MachineType) {
	c.cloudTypes = types
	c.merge(types)
}

func (c *Catalog) merge(types []cloud.MachineType) {
	for _, machineType := range types {
		c.byName[machineType.Name] = machineType
	}
}

// All returns the machine types by name. The map belongs to the catalog and must not be changed.
func (c *Catalog) All() map[string]cloud.MachineType { return c.byName }

// Get returns a machine type by its name, and whether the type is known.
func (c *Catalog) Get(typeName string) (cloud.MachineType, bool) {
	machineType, ok := c.byName[typeName]
	return machineType, ok
}

// Capacity returns the resources of a machine of a type, and whether the type is known.
func (c *Catalog) Capacity(typeName string) (capacity.Resources, bool) {
	machineType, ok := c.byName[typeName]
	return machineType.Total(), ok
}

// BootSeconds returns the expected boot time of a machine type in seconds: the recorded boot time or, if
// there is none, the one that the cloud states. It is 0 for an unknown type.
func (c *Catalog) BootSeconds(typeName string) float64 {
	if seconds, ok := c.recordedBootTimes[typeName]; ok {
		return seconds
	}
	return c.byName[typeName].StartupS
}

// LongestBootSeconds returns the expected boot time of the slowest machine type in seconds.
func (c *Catalog) LongestBootSeconds() float64 {
	longestSeconds := 0.0
	for typeName := range c.byName {
		longestSeconds = max(longestSeconds, c.BootSeconds(typeName))
	}
	return longestSeconds
}

// RecordedBootTimes returns the recorded boot times in seconds by machine type, nil if there are none.
func (c *Catalog) RecordedBootTimes() map[string]float64 { return c.recordedBootTimes }

// TypesToRecord returns the value to write as the record of the machine types, and the state of the
// record, which the writer must update. value is nil if the record is up to date or a write is in
// flight. A change of prices alone is not recorded, since prices change all the time.
//
// Without the record, a controller that starts while the cloud is unavailable could neither
// validate submissions nor place a task.
func (c *Catalog) TypesToRecord() (value json.RawMessage, record *RecordState, err error) {
	types := slices.Clone(c.cloudTypes)
	slices.SortFunc(types, func(x, y cloud.MachineType) int { return strings.Compare(x.Name, y.Name) })
	isRecorded := slices.EqualFunc(types, c.recordedTypes, areEqualExceptPrices)
	if isRecorded || len(types) == 0 || c.typesRecord.IsWriteInFlight {
		return nil, nil, nil
	}
	if value, err = json.Marshal(types); err != nil {
		return nil, nil, fmt.Errorf("encode machine types: %w", err)
	}
	return value, &c.typesRecord, nil
}

// areEqualExceptPrices reports whether two machine types differ at most in their prices.
func areEqualExceptPrices(x, y cloud.MachineType) bool {
	x.HourlyPrice, x.SpotHourlyPrice, y.HourlyPrice, y.SpotHourlyPrice = 0, 0, 0, 0
	encodedX, errX := json.Marshal(x)
	encodedY, errY := json.Marshal(y)
	return errX == nil && errY == nil && bytes.Equal(encodedX, encodedY)
}

// ApplyTypesRecord applies the record of the machine types at a revision. A record that is not newer than
// the last one is ignored. isUsed reports whether the catalog now uses the recorded types, which it
// does only until it has types from the cloud. ApplyTypesRecord returns an error if the record cannot be
// decoded.
func (c *Catalog) ApplyTypesRecord(value json.RawMessage, revision uint64) (isUsed bool, err error) {
	if revision <= c.typesRecord.Revision {
		return false, nil
	}
	var types []cloud.MachineType
	if err := json.Unmarshal(value, &types); err != nil {
		return false, fmt.Errorf("decode machine types: %w", err)
	}
	c.recordedTypes, c.typesRecord.Revision = types, revision
	if c.cloudTypes != nil {
		return false, nil
	}
	c.merge(types)
	return true, nil
}

// SetLearnedBootTimes sets the boot times, in seconds by machine type, that the autoscaler of this
// controller has learned up to the time now.
func (c *Catalog) SetLearnedBootTimes(bootSeconds map[string]float64, now time.Time) {
	c.learnedBootTimes, c.learnedAt = bootSeconds, now
}

// BootTimesToRecord returns the value to write as the record of the boot times, and the state of the
// record, which the writer must update. value is nil if no boot time has changed by more than
// tuning.BootTimeChangeFraction, a write is in flight, or the learned boot times are outdated. All
// controllers size their buffers by the recorded boot times, and the next autoscaler starts with them.
func (c *Catalog) BootTimesToRecord(now time.Time) (value json.RawMessage, record *RecordState, err error) {
	// A controller that has lost the autoscaler lease learns no new boot times. It must not overwrite
	// the record of the controller that holds the lease.
	isOutdated := now.Sub(c.learnedAt) > maxLearnedBootTimesAgeIntervals*tuning.DemandCheckInterval
	if !c.haveBootTimesChanged() || c.bootTimesRecord.IsWriteInFlight || isOutdated {
		return nil, nil, nil
	}
	if value, err = json.Marshal(c.learnedBootTimes); err != nil {
		return nil, nil, fmt.Errorf("encode boot times: %w", err)
	}
	return value, &c.bootTimesRecord, nil
}

// haveBootTimesChanged reports whether a learned boot time differs from the expected one by more than
// tuning.BootTimeChangeFraction.
func (c *Catalog) haveBootTimesChanged() bool {
	for typeName, seconds := range c.learnedBootTimes {
		expected := c.BootSeconds(typeName)
		if math.Abs(seconds-expected) > tuning.BootTimeChangeFraction*expected {
			return true
		}
	}
	return false
}

// ApplyBootTimesRecord applies the record of the boot times at a revision. A record that is not newer
// than the last one is ignored. ApplyBootTimesRecord returns an error if the record cannot be decoded.
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
