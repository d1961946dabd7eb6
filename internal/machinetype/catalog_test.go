package machinetype

import (
	"encoding/json"
	"testing"
	"time"

	"cherrywall/internal/cloud"
)

func TestTypesRecordReplacesUnavailableCloud(t *testing.T) {
	offeredTypes := []cloud.MachineType{{Name: "m16", CPU: 16, MemGB: 64, HourlyPrice: 1, StartupS: 35}}
	c := New()
	c.SetCloudTypes(offeredTypes)
	value, record, err := c.TypesToRecord()
	if err != nil || value == nil {
		t.Fatalf("nothing to record: %v", err)
	}
	record.IsWriteInFlight = true
	if value, _, _ := c.TypesToRecord(); value != nil {
		t.Error("second write started while the first is in flight")
	}
	record.IsWriteInFlight = false
	if _, err := c.ApplyTypesRecord(value, 5); err != nil {
		t.Fatal(err)
	}
	offeredTypes[0].HourlyPrice = 2 // prices change all the time
	c.SetCloudTypes(offeredTypes)
	if value, _, _ := c.TypesToRecord(); value != nil {
		t.Errorf("a change of prices alone was recorded: %s", value)
	}
	otherCatalog := New()
	if isUsed, err := otherCatalog.ApplyTypesRecord(value, 5); err != nil || !isUsed {
		t.Fatalf("the record is not used without types from the cloud: %v", err)
	}
	if resources, ok := otherCatalog.Capacity("m16"); !ok || resources.CPU != 16 {
		t.Errorf("capacity %+v, known %v", resources, ok)
	}
	if _, err := otherCatalog.ApplyTypesRecord(json.RawMessage(`{}`), 6); err == nil {
		t.Error("an invalid record was applied")
	}
}

func TestBootTimesRecordedByActiveAutoscalerWhenChanged(t *testing.T) {
	now := time.Now()
	c := New()
	c.SetCloudTypes([]cloud.MachineType{{Name: "m16", StartupS: 35}})
	c.SetLearnedBootTimes(map[string]float64{"m16": 38}, now)
	if value, _, _ := c.BootTimesToRecord(now); value != nil {
		t.Errorf("a change by less than a tenth was recorded: %s", value)
	}
	c.SetLearnedBootTimes(map[string]float64{"m16": 80}, now)
	if value, _, _ := c.BootTimesToRecord(now.Add(time.Minute)); value != nil {
		t.Error("outdated boot times were recorded")
	}
	value, _, err := c.BootTimesToRecord(now)
	if err != nil || c.ApplyBootTimesRecord(value, 9) != nil || c.BootSeconds("m16") != 80 || c.LongestBootSeconds() != 80 {
		t.Errorf("error %v, boot time %v s", err, c.BootSeconds("m16"))
	}
	if c.ApplyBootTimesRecord(json.RawMessage(`{"m16":1}`), 8) != nil || c.BootSeconds("m16") != 80 {
		t.Error("an older record was applied")
	}
}
