package machinetype

import (
	"encoding/json"
	"testing"
	"time"

	"cherrywall/internal/cloud"
)

func TestTypesAreRecordedOnceAndUsedWithoutTheCloud(t *testing.T) {
	heard := []cloud.MachineType{{Name: "m16", CPU: 16, MemGB: 64, HourlyPrice: 1, StartupS: 35}}
	c := New()
	c.SetFromCloud(heard)
	value, rec, err := c.TypesToRecord()
	if err != nil || value == nil {
		t.Fatalf("nothing to record: %v", err)
	}
	rec.WriteInFlight = true
	if v, _, _ := c.TypesToRecord(); v != nil {
		t.Error("recorded twice at a time")
	}
	rec.WriteInFlight = false
	if _, err := c.ApplyTypesRecord(value, 5); err != nil {
		t.Fatal(err)
	}
	heard[0].HourlyPrice = 2 // prices move all the time
	c.SetFromCloud(heard)
	if v, _, _ := c.TypesToRecord(); v != nil {
		t.Errorf("recorded again: %s", v)
	}
	other := New()
	if used, err := other.ApplyTypesRecord(value, 5); err != nil || !used {
		t.Fatalf("the record is not used: %v", err)
	}
	if v, ok := other.Capacity("m16"); !ok || v.CPU != 16 {
		t.Errorf("%+v, %v", v, ok)
	}
	if _, err := other.ApplyTypesRecord(json.RawMessage(`{}`), 6); err == nil {
		t.Error("a broken record was taken")
	}
}

func TestBootTimesAreRecordedByWhoRentsWhenTheyMatter(t *testing.T) {
	now := time.Now()
	c := New()
	c.SetFromCloud([]cloud.MachineType{{Name: "m16", StartupS: 35}})
	c.LearnBootTimes(map[string]float64{"m16": 38}, now)
	if v, _, _ := c.BootTimesToRecord(now); v != nil {
		t.Errorf("a tenth is recorded: %s", v)
	}
	c.LearnBootTimes(map[string]float64{"m16": 80}, now)
	if v, _, _ := c.BootTimesToRecord(now.Add(time.Minute)); v != nil {
		t.Error("who does not rent any more records")
	}
	v, _, err := c.BootTimesToRecord(now)
	if err != nil || c.ApplyBootTimesRecord(v, 9) != nil || c.BootSeconds("m16") != 80 || c.LongestBootSeconds() != 80 {
		t.Errorf("%v, boots in %v s", err, c.BootSeconds("m16"))
	}
	if c.ApplyBootTimesRecord(json.RawMessage(`{"m16":1}`), 8) != nil || c.BootSeconds("m16") != 80 {
		t.Error("an older record was taken")
	}
}
