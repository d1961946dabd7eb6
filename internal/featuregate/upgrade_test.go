package featuregate_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/config"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
	"cherrywall/internal/peer"
)

// The records and frames under testdata/production were written by the program of the
// commit that deploy/service.toml names.

// runScenario runs a cluster of three controllers; configure changes it before the start.
func runScenario(t *testing.T, configure, scenario func(cluster *fake.Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		cluster := fake.NewClusterWith(ctx, map[string]string{"n0": "a", "n1": "b", "n2": "b"}, func(cluster *fake.Cluster) {
			cluster.OfferedTypes[0].CPU, cluster.OfferedTypes[0].MemGB = 8, 32
			configure(cluster)
		})
		time.Sleep(5 * time.Second)
		scenario(cluster)
		for _, violation := range cluster.Violations() {
			t.Error("invariant violated:", violation)
		}
		stop()
		synctest.Wait()
	})
}

func productionRecords(t *testing.T) map[string]json.RawMessage {
	t.Helper()
	raw, err := os.ReadFile("testdata/production/records.json")
	if err != nil {
		t.Fatal(err)
	}
	var rows map[string]json.RawMessage
	if err := json.Unmarshal(raw, &rows); err != nil {
		t.Fatal(err)
	}
	return rows
}

// Controllers that start with production's records load all of them, answer requests for all of
// their jobs, and complete those that can complete.
func TestProductionRecordsAreLoaded(t *testing.T) {
	rows := productionRecords(t)
	runScenario(t, func(cluster *fake.Cluster) {
		for key, value := range rows {
			if !strings.HasPrefix(key, jobs.LivenessPrefix) { // their leases have expired
				cluster.Store.Put(key, value)
			}
		}
	}, func(cluster *fake.Cluster) {
		for i := range 5 {
			cluster.AddMachine([]string{"a", "b"}[i%2], false)
		}
		// The old machines never come back; the last one counts as running for as long as any
		// controller may have renewed its lease.
		time.Sleep(90 * time.Second)
		jobCount := 0
		for key := range rows {
			ref, ok := refOfKey(key)
			if !ok {
				continue
			}
			jobCount++
			status := expectedStatus(ref)
			if status != "" && !cluster.WaitForStatus("n1", ref, status, 200*time.Second) || cluster.Poll("n2", ref).Code != 200 {
				t.Errorf("%s: %+v, want %s", ref, cluster.Poll("n1", ref), status)
			}
		}
		if jobCount < 15 {
			t.Errorf("the fixture has only %d jobs", jobCount)
		}
	})
}

// refOfKey returns the job of a job's record or final state.
func refOfKey(key string) (ref string, ok bool) {
	if ref, ok = strings.CutPrefix(key, jobs.JobPrefix); ok {
		return ref, true
	}
	return strings.CutPrefix(key, jobs.FinalPrefix)
}

// expectedStatus is how one of production's jobs is to end; empty: it does not.
func expectedStatus(ref string) jobs.Status {
	switch ref {
	case "wk-604":
		return jobs.Cancelled
	case "wk-601", "wk-602", "wk-603": // too large for these machines, or without an end
		return ""
	default:
		return jobs.Done
	}
}

// Frames between controllers keep their form: production's are read, and written in the same bytes.
func TestProductionFramesAreReadAndWrittenUnchanged(t *testing.T) {
	raw, err := os.ReadFile("testdata/production/frames.json")
	if err != nil {
		t.Fatal(err)
	}
	var frames [][]byte
	if err := json.Unmarshal(raw, &frames); err != nil {
		t.Fatal(err)
	}
	machines, capacities := 0, 0
	for _, frame := range frames {
		heartbeat, err := peer.ReadFrame(bytes.NewReader(frame))
		if err != nil {
			t.Fatal(err)
		}
		if heartbeat.TransferChunk != nil {
			machines += len(heartbeat.TransferChunk.Machines)
		}
		capacities += len(heartbeat.Capacities)
		if !bytes.Equal(peer.Encode(heartbeat), frame) {
			t.Errorf("the frame of %s is written otherwise", heartbeat.Node)
		}
	}
	if machines < 2 || capacities < 3 {
		t.Errorf("the fixture has little: %d machines, %d capacities", machines, capacities)
	}
}

// Production's records as its program had them, frozen: that program loses the fields it does not
// know when it writes a record again.
type (
	oldInterval struct {
		First int `json:"f"`
		N     int `json:"n"`
	}
	oldJob struct {
		Ref         string         `json:"ref"`
		Class       string         `json:"lot"`
		Team        string         `json:"crew"`
		Kind        string         `json:"shape"`
		Urgency     string         `json:"urgency"`
		Tasks       int            `json:"shifts"`
		CPU         float64        `json:"vcpus"`
		GPU         float64        `json:"cards"`
		MemGB       float64        `json:"ramGb"`
		Builds      []string       `json:"builds"`
		Zone        *string        `json:"valley"`
		OneZone     bool           `json:"oneZone"`
		Spread      bool           `json:"spread"`
		Spot        bool           `json:"loaners"`
		Image       string         `json:"kit"`
		ImageGB     float64        `json:"imageGb"`
		EstimateS   float64        `json:"guessS"`
		CheckpointS float64        `json:"waypointS"`
		SaveS       float64        `json:"stashS"`
		DueS        *float64       `json:"dueS"`
		AcceptedMS  int64          `json:"at"`
		By          string         `json:"by"`
		Free        []oldInterval  `json:"free"`
		Completed   int            `json:"d,omitempty"`
		Own         *oldOwner      `json:"own,omitempty"`
		Sole        bool           `json:"sole,omitempty"`
		PerZone     map[string]int `json:"pz,omitempty"`
	}
	oldOwner struct {
		Shard string `json:"share"`
		Epoch uint64 `json:"tenure"`
		N     int    `json:"n"`
	}
	oldRange struct {
		Shard string   `json:"share"`
		N     int      `json:"n"`
		Done  []byte   `json:"done,omitempty"`
		Zone  string   `json:"zone,omitempty"`
		On    []string `json:"on,omitempty"`
	}
	oldFinal struct {
		Status string `json:"s"`
		Tasks  int    `json:"n"`
	}
	oldShard struct {
		Owner   string  `json:"holder"`
		Boot    uint64  `json:"boot"`
		Takings []int64 `json:"takings,omitempty"`
		Marks   *uint64 `json:"marks,omitempty"`
	}
	oldWorker struct {
		Shard   string `json:"share"`
		Addr    string `json:"addr"`
		Build   string `json:"build"`
		Zone    string `json:"zone"`
		Spot    bool   `json:"spot"`
		SinceMS int64  `json:"at"`
	}
)

var oldRecordTypes = []struct {
	prefix string
	newOf  func() any
}{
	{jobs.JobPrefix, func() any { return new(oldJob) }},
	{jobs.RangePrefix, func() any { return new(oldRange) }},
	{jobs.FinalPrefix, func() any { return new(oldFinal) }},
	{jobs.ShardPrefix, func() any { return new(oldShard) }},
	{jobs.WorkerPrefix, func() any { return new(oldWorker) }},
	{jobs.CompletionBatchPrefix, func() any { return new([]string) }},
}

// checkOldProgramCarries checks that production's program would write a record again as it is;
// known is false if it has no such records.
func checkOldProgramCarries(key string, value json.RawMessage) (known bool, err error) {
	for _, recordType := range oldRecordTypes {
		if !strings.HasPrefix(key, recordType.prefix) {
			continue
		}
		record := recordType.newOf()
		decoder := json.NewDecoder(bytes.NewReader(value))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(record); err != nil {
			return true, fmt.Errorf("%s: production can't carry %s: %w", key, value, err)
		}
		rewritten, err := json.Marshal(record)
		if err != nil {
			return true, fmt.Errorf("%s: %w", key, err)
		}
		var before, after any
		if json.Unmarshal(rewritten, &after) != nil || json.Unmarshal(value, &before) != nil || !reflect.DeepEqual(before, after) {
			return true, fmt.Errorf("%s: %s becomes %s", key, value, rewritten)
		}
		return true, nil
	}
	return false, nil
}

func TestFrozenRecordTypesAreThoseOfProduction(t *testing.T) {
	knownCount := 0
	for key, value := range productionRecords(t) {
		known, err := checkOldProgramCarries(key, value)
		if err != nil {
			t.Error(err)
		}
		if known {
			knownCount++
		}
	}
	if knownCount < 40 {
		t.Errorf("%d records are of known types", knownCount)
	}
	record := jobs.JobRecord{Spec: fake.JobSpec("wk-1", jobs.Array, 1, 1)}
	record.DependsOn = []string{"wk-2"}
	if raw, _ := json.Marshal(record); raw != nil {
		if _, err := checkOldProgramCarries(jobs.JobKey("wk-1"), raw); err == nil {
			t.Error("production would carry dependencies: the types prove nothing")
		}
	}
}

// checkStoredRecords checks that production's program would carry all records in the store, and
// returns how many of them it knows.
func checkStoredRecords(t *testing.T, cluster *fake.Cluster) int {
	t.Helper()
	knownCount := 0
	for _, key := range cluster.Store.Keys(jobs.Prefix) {
		value, found := cluster.Store.Value(key)
		if !found {
			continue // deleted by a controller since the keys were listed
		}
		known, err := checkOldProgramCarries(key, json.RawMessage(value))
		if err != nil {
			t.Fatal(err)
		}
		if known {
			knownCount++
		}
	}
	return knownCount
}

// Until every controller, live or not, has recorded the new version, the previous version can read
// and rewrite whatever is stored, nothing is stored in chunks, and jobs with dependencies are refused
// with a time to retry. After that they are accepted.
func TestNothingNewIsWrittenBeforeAllControllersAreUpgraded(t *testing.T) {
	runScenario(t, func(cluster *fake.Cluster) {
		cluster.Cfg.Peers = append(cluster.Cfg.Peers, config.Peer{Node: "n3", Zone: "a"}) // down for long
	}, func(cluster *fake.Cluster) {
		for i := range 8 {
			cluster.AddMachine([]string{"a", "b"}[i%2], false)
		}
		time.Sleep(5 * time.Second)
		checked := runJobsBeforeUpgrade(t, cluster)
		dependent := fake.JobSpec("wk-900", jobs.Array, 2, 1)
		dependent.DependsOn = []string{"wk-101"}
		if response := cluster.Submit("n1", dependent, time.Second); response.Code != 503 || !strings.Contains(response.Error, "n3") {
			t.Errorf("with one old controller: %+v", response)
		}
		large := fake.JobSpec("wk-901", jobs.Array, 2, 1)
		large.Class = strings.Repeat("c", 20<<10)
		if response := cluster.Submit("n1", large, time.Second); response.Code != 503 {
			t.Errorf("larger than a value: %+v", response)
		}
		checked += checkStoredRecords(t, cluster)
		if checked < 500 || len(cluster.Store.Keys(jobs.ChunkPrefix)) > 0 {
			t.Errorf("%d records were checked; chunks: %v", checked, cluster.Store.Keys(jobs.ChunkPrefix))
		}
		cluster.StartController("n3")
		time.Sleep(3 * time.Second)
		cluster.CrashController("n3") // it has recorded its version, that is enough
		for _, spec := range []jobs.Spec{dependent, large} {
			if response := cluster.Submit("n2", spec, time.Second); response.Code != 201 {
				t.Errorf("%s with all upgraded: %+v", spec.Ref, response)
			}
			if !cluster.WaitForStatus("n0", spec.Ref, jobs.Done, 60*time.Second) {
				t.Errorf("%s: %+v", spec.Ref, cluster.Poll("n0", spec.Ref))
			}
		}
	})
}

// runJobsBeforeUpgrade submits jobs, cancels some, restarts a controller, and checks the stored
// records after each step. It returns how many were checked.
func runJobsBeforeUpgrade(t *testing.T, cluster *fake.Cluster) (checked int) {
	t.Helper()
	for i := range 40 {
		spec := fake.JobSpec(fmt.Sprintf("wk-%d", 100+i), []jobs.Kind{jobs.Array, jobs.Gang}[i%2], 1+i%7, 1)
		spec.Spread = i%5 == 0
		if response := cluster.Submit(fmt.Sprintf("n%d", i%3), spec, 3*time.Second); response.Code != 201 {
			t.Fatalf("%+v", response)
		}
		if i%9 == 4 {
			cluster.Cancel("n1", spec.Ref)
		}
		if i == 20 {
			cluster.CrashController("n0")
			cluster.StartController("n0")
			time.Sleep(2 * time.Second)
		}
		checked += checkStoredRecords(t, cluster)
		time.Sleep(300 * time.Millisecond)
	}
	return checked
}
