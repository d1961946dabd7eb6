// Package catalog is what a controller knows of machine types: what they offer and
// cost, as the cloud last said or as it was recorded, and how long they take to boot.
// It decides what is worth recording; its owner writes the records.
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

// Catalog has no locks: one actor owns it.
type Catalog struct {
	byName            map[string]cloud.MachineType
	fromCloud         []cloud.MachineType // from the cloud: the record matters no more
	typesRecord       RecordState
	recordedTypes     []cloud.MachineType // as recorded
	bootTimesRecord   RecordState
	recordedBootTimes map[string]float64 // boot times in seconds by type, as recorded
	learnedBootTimes  map[string]float64 // the same as learned here
	learnedAt         time.Time          // when they were
}

// RecordState is the state of a durable record: which stamp it has, and whether it is
// being written.
type RecordState struct {
	Revision      uint64
	WriteInFlight bool
}

// New makes an empty catalog.
func New() *Catalog { return &Catalog{byName: map[string]cloud.MachineType{}} }

// SetFromCloud takes the types as the cloud has them.
func (c *Catalog) SetFromCloud(list []cloud.MachineType) {
	c.fromCloud = list
	c.merge(list)
}

func (c *Catalog) merge(list []cloud.MachineType) {
	for _, x := range list {
		c.byName[x.Name] = x
	}
}

// All are the types by name; the map is the catalog's own.
func (c *Catalog) All() map[string]cloud.MachineType { return c.byName }

// Get is a type by its name.
func (c *Catalog) Get(typeName string) (cloud.MachineType, bool) {
	machineType, ok := c.byName[typeName]
	return machineType, ok
}

// Capacity is what a machine of a type offers.
func (c *Catalog) Capacity(typeName string) (capacity.Resources, bool) {
	machineType, ok := c.byName[typeName]
	return machineType.Total(), ok
}

// BootSeconds is the usual boot time of a type, in seconds.
func (c *Catalog) BootSeconds(typeName string) float64 {
	if s, known := c.recordedBootTimes[typeName]; known {
		return s
	}
	return c.byName[typeName].StartupS
}

// LongestBootSeconds is that of the slowest type, in seconds.
func (c *Catalog) LongestBootSeconds() float64 {
	boot := 0.0
	for typeName := range c.byName {
		boot = max(boot, c.BootSeconds(typeName))
	}
	return boot
}

// RecordedBootTimes are the boot times as recorded, by type; nil if there are none.
func (c *Catalog) RecordedBootTimes() map[string]float64 { return c.recordedBootTimes }

// TypesToRecord tells what to record of the types, and the state of the record. value is
// nil if there is nothing to write. Prices move all the time and are not worth it.
// Without the record a controller that starts while the cloud is down could
// neither judge submissions nor place a task.
func (c *Catalog) TypesToRecord() (value json.RawMessage, rec *RecordState, err error) {
	list := slices.Clone(c.fromCloud)
	slices.SortFunc(list, func(x, y cloud.MachineType) int { return strings.Compare(x.Name, y.Name) })
	same := len(list) == len(c.recordedTypes)
	for i := 0; same && i < len(list); i++ {
		same = equalExceptPrices(list[i], c.recordedTypes[i])
	}
	if same || len(list) == 0 || c.typesRecord.WriteInFlight {
		return nil, nil, nil
	}
	if value, err = json.Marshal(list); err != nil {
		return nil, nil, fmt.Errorf("machine types: %w", err)
	}
	return value, &c.typesRecord, nil
}

// equalExceptPrices tells whether two types differ in no more than their prices.
func equalExceptPrices(x, y cloud.MachineType) bool {
	x.HourlyPrice, x.SpotHourlyPrice, y.HourlyPrice, y.SpotHourlyPrice = 0, 0, 0, 0
	a, errA := json.Marshal(x)
	b, errB := json.Marshal(y)
	return errA == nil && errB == nil && bytes.Equal(a, b)
}

// ApplyTypesRecord follows the record; changed tells that it is used now.
func (c *Catalog) ApplyTypesRecord(value json.RawMessage, revision uint64) (changed bool, err error) {
	if revision <= c.typesRecord.Revision {
		return false, nil
	}
	var list []cloud.MachineType
	if err := json.Unmarshal(value, &list); err != nil {
		return false, fmt.Errorf("machine types: %w", err)
	}
	c.recordedTypes, c.typesRecord.Revision = list, revision
	if c.fromCloud != nil {
		return false, nil
	}
	c.merge(list)
	return true, nil
}

// LearnBootTimes takes what the renting actor of this controller has learned.
func (c *Catalog) LearnBootTimes(usual map[string]float64, now time.Time) {
	c.learnedBootTimes, c.learnedAt = usual, now
}

// BootTimesToRecord tells what to record of the boot times: if they differ enough to matter.
// All controllers size their buffers by the record, and the next one that rents
// begins with it.
func (c *Catalog) BootTimesToRecord(now time.Time) (value json.RawMessage, rec *RecordState, err error) {
	changed := false
	for typeName, s := range c.learnedBootTimes {
		changed = changed || math.Abs(s-c.BootSeconds(typeName)) > tuning.BootTimeChangeFraction*c.BootSeconds(typeName)
	}
	// Who no longer rents learns no more, and must not write against who does.
	if !changed || c.bootTimesRecord.WriteInFlight || now.Sub(c.learnedAt) > 3*tuning.DemandCheckInterval {
		return nil, nil, nil
	}
	if value, err = json.Marshal(c.learnedBootTimes); err != nil {
		return nil, nil, fmt.Errorf("boot times: %w", err)
	}
	return value, &c.bootTimesRecord, nil
}

// ApplyBootTimesRecord follows the record.
func (c *Catalog) ApplyBootTimesRecord(value json.RawMessage, revision uint64) error {
	if revision <= c.bootTimesRecord.Revision {
		return nil
	}
	var usual map[string]float64
	if err := json.Unmarshal(value, &usual); err != nil {
		return fmt.Errorf("boot times: %w", err)
	}
	c.recordedBootTimes, c.bootTimesRecord.Revision = usual, revision
	return nil
}
