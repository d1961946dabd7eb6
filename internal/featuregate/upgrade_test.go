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

// The records and frames under testdata/production were written by the production version: the program
// of the commit that deploy/service.toml names.

// runScenario runs a scenario on a cluster of three controllers and checks the invariants afterwards.
// configure changes the cluster before it starts.
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
	var records map[string]json.RawMessage
	if err := json.Unmarshal(raw, &records); err != nil {
		t.Fatal(err)
	}
	return records
}

// Controllers that start with the records of the production version load all of them, answer requests
// for all recorded jobs, and complete the jobs that can complete.
func TestProductionRecordsAreLoaded(t *testing.T) {
	records := productionRecords(t)
	runScenario(t, func(cluster *fake.Cluster) {
		for key, value := range records {
			if !strings.HasPrefix(key, jobs.LivenessPrefix) { // the leases of the recorded controllers have expired
				cluster.Store.Put(key, value)
			}
		}
	}, func(cluster *fake.Cluster) {
		for i := range 5 {
			cluster.AddMachine([]string{"a", "b"}[i%2], false)
		}
		// The recorded machines never come back. Each of them counts as running for as long as a
		// controller may have renewed its lease. Wait until that time has passed for all of them.
		time.Sleep(90 * time.Second)
		jobCount := 0
		for key := range records {
			ref, ok := jobRefFromKey(key)
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

// jobRefFromKey returns the job reference in the key of a job's record or final state. ok is false for
// other keys.
func jobRefFromKey(key string) (ref string, ok bool) {
	if ref, ok = strings.CutPrefix(key, jobs.JobPrefix); ok {
		return ref, true
	}
	return strings.CutPrefix(key, jobs.FinalPrefix)
}

// expectedStatus returns the final status that a recorded job must reach, empty if it must reach none.
func expectedStatus(ref string) jobs.Status {
	switch ref {
	case "wk-604":
		return jobs.Cancelled
	case "wk-601", "wk-602", "wk-603": // these jobs are too large for the machines, or are services that run until they are cancelled
		return ""
	default:
		return jobs.Done
	}
}

// The frames between controllers keep their encoded form: frames of the production version can be read,
// and encoding them again gives the same bytes.
func TestProductionFramesAreReadAndWrittenUnchanged(t *testing.T) {
	raw, err := os.ReadFile("testdata/production/frames.json")
	if err != nil {
		t.Fatal(err)
	}
	var frames [][]byte
	if err := json.Unmarshal(raw, &frames); err != nil {
		t.Fatal(err)
	}
	machineCount, capacityCount := 0, 0
	for _, frame := range frames {
		heartbeat, err := peer.ReadFrame(bytes.NewReader(frame))
		if err != nil {
			t.Fatal(err)
		}
		if heartbeat.TransferChunk != nil {
			machineCount += len(heartbeat.TransferChunk.Machines)
		}
		capacityCount += len(heartbeat.Capacities)
		if !bytes.Equal(peer.Encode(heartbeat), frame) {
			t.Errorf("the frame of %s is encoded differently", heartbeat.Node)
		}
	}
	if machineCount < 2 || capacityCount < 3 {
		t.Errorf("the fixture has too few entries: %d machines, %d capacities", machineCount, capacityCount)
	}
}

// These are the record types of the production version. They must not follow changes of the current
// types. The production version drops unknown fields when it rewrites a record, so a test with these
// types finds the fields that the production version would lose.
type (
	productionInterval struct {
		First int `json:"f"`
		Count int `json:"n"`
	}
	productionJob struct {
		Ref                       string                   `json:"ref"`
		Class                     string                   `json:"lot"`
		Team                      string                   `json:"crew"`
		Kind                      string                   `json:"shape"`
		Urgency                   string                   `json:"urgency"`
		Tasks                     int                      `json:"shifts"`
		CPU                       float64                  `json:"vcpus"`
		GPU                       float64                  `json:"cards"`
		MemGB                     float64                  `json:"ramGb"`
		MachineTypes              []string                 `json:"builds"`
		Zone                      *string                  `json:"valley"`
		OneZone                   bool                     `json:"oneZone"`
		Spread                    bool                     `json:"spread"`
		Spot                      bool                     `json:"loaners"`
		Image                     string                   `json:"kit"`
		ImageGB                   float64                  `json:"imageGb"`
		EstimatedRunSeconds       float64                  `json:"guessS"`
		CheckpointIntervalSeconds float64                  `json:"waypointS"`
		CheckpointSaveSeconds     float64                  `json:"stashS"`
		DeadlineSeconds           *float64                 `json:"dueS"`
		AcceptedAtMS              int64                    `json:"at"`
		AcceptedBy                string                   `json:"by"`
		Unclaimed                 []productionInterval     `json:"free"`
		Completed                 int                      `json:"d,omitempty"`
		WholeClaim                *productionWholeJobClaim `json:"own,omitempty"`
		ExcludedFromBatches       bool                     `json:"sole,omitempty"`
		ClaimedPerZone            map[string]int           `json:"pz,omitempty"`
	}
	productionWholeJobClaim struct {
		Shard string `json:"share"`
		Epoch uint64 `json:"tenure"`
		Count int    `json:"n"`
	}
	productionRange struct {
		Shard       string   `json:"share"`
		Count       int      `json:"n"`
		Done        []byte   `json:"done,omitempty"`
		Zone        string   `json:"zone,omitempty"`
		GangWorkers []string `json:"on,omitempty"`
	}
	productionFinalState struct {
		Status string `json:"s"`
		Tasks  int    `json:"n"`
	}
	productionShard struct {
		Owner             string  `json:"holder"`
		Incarnation       uint64  `json:"boot"`
		Acquisitions      []int64 `json:"takings,omitempty"`
		MarksTrustedAfter *uint64 `json:"marks,omitempty"`
	}
	productionWorker struct {
		Shard          string `json:"share"`
		Addr           string `json:"addr"`
		MachineType    string `json:"build"`
		Zone           string `json:"zone"`
		Spot           bool   `json:"spot"`
		RegisteredAtMS int64  `json:"at"`
	}
)

var productionRecordTypes = []struct {
	prefix    string
	newRecord func() any
}{
	{jobs.JobPrefix, func() any { return new(productionJob) }},
	{jobs.RangePrefix, func() any { return new(productionRange) }},
	{jobs.FinalPrefix, func() any { return new(productionFinalState) }},
	{jobs.ShardPrefix, func() any { return new(productionShard) }},
	{jobs.WorkerPrefix, func() any { return new(productionWorker) }},
	{jobs.CompletionBatchPrefix, func() any { return new([]string) }},
}

// checkProductionRoundTrip checks that the production version would rewrite a record without changing
// it. isKnown is false if the production version has no record type for the key.
func checkProductionRoundTrip(key string, value json.RawMessage) (isKnown bool, err error) {
	for _, recordType := range productionRecordTypes {
		if !strings.HasPrefix(key, recordType.prefix) {
			continue
		}
		record := recordType.newRecord()
		decoder := json.NewDecoder(bytes.NewReader(value))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(record); err != nil {
			return true, fmt.Errorf("%s: the production version can't decode %s: %w", key, value, err)
		}
		rewrittenRecord, err := json.Marshal(record)
		if err != nil {
			return true, fmt.Errorf("%s: %w", key, err)
		}
		var valueBefore, valueAfter any
		if json.Unmarshal(rewrittenRecord, &valueAfter) != nil || json.Unmarshal(value, &valueBefore) != nil || !reflect.DeepEqual(valueBefore, valueAfter) {
			return true, fmt.Errorf("%s: the production version rewrites %s as %s", key, value, rewrittenRecord)
		}
		return true, nil
	}
	return false, nil
}

func TestProductionRecordTypesFitStoredRecords(t *testing.T) {
	knownCount := 0
	for key, value := range productionRecords(t) {
		isKnown, err := checkProductionRoundTrip(key, value)
		if err != nil {
			t.Error(err)
		}
		if isKnown {
			knownCount++
		}
	}
	if knownCount < 40 {
		t.Errorf("only %d records are of known types", knownCount)
	}
	record := jobs.JobRecord{Spec: fake.JobSpec("wk-1", jobs.Array, 1, 1)}
	record.DependsOn = []string{"wk-2"}
	if raw, _ := json.Marshal(record); raw != nil {
		if _, err := checkProductionRoundTrip(jobs.JobKey("wk-1"), raw); err == nil {
			t.Error("the production types accept dependencies, so the checks prove nothing")
		}
	}
}

// checkStoredRecords checks that the production version would rewrite all records in the store without
// changing them. It returns the number of records for which the production version has a type.
func checkStoredRecords(t *testing.T, cluster *fake.Cluster) int {
	t.Helper()
	knownCount := 0
	for _, key := range cluster.Store.Keys(jobs.Prefix) {
		value, found := cluster.Store.Value(key)
		if !found {
			continue // deleted by a controller since the keys were listed
		}
		isKnown, err := checkProductionRoundTrip(key, json.RawMessage(value))
		if err != nil {
			t.Fatal(err)
		}
		if isKnown {
			knownCount++
		}
	}
	return knownCount
}

// Until every controller, live or not, has recorded the new version, the previous version can read and
// rewrite all stored records, no record is stored in chunks, and jobs with dependencies are rejected
// with status 503 and a time to retry. After that they are accepted.
func TestNothingNewIsWrittenBeforeAllControllersAreUpgraded(t *testing.T) {
	runScenario(t, func(cluster *fake.Cluster) {
		cluster.Cfg.Peers = append(cluster.Cfg.Peers, config.Peer{Node: "n3", Zone: "a"}) // this controller is down and has recorded no version
	}, func(cluster *fake.Cluster) {
		for i := range 8 {
			cluster.AddMachine([]string{"a", "b"}[i%2], false)
		}
		time.Sleep(5 * time.Second)
		checkedCount := runJobsBeforeUpgrade(t, cluster)
		dependentSpec := fake.JobSpec("wk-900", jobs.Array, 2, 1)
		dependentSpec.DependsOn = []string{"wk-101"}
		if response := cluster.Submit("n1", dependentSpec, time.Second); response.Code != 503 || !strings.Contains(response.Error, "n3") {
			t.Errorf("while one controller has not recorded the new version: %+v", response)
		}
		largeSpec := fake.JobSpec("wk-901", jobs.Array, 2, 1)
		largeSpec.Class = strings.Repeat("c", 20<<10)
		if response := cluster.Submit("n1", largeSpec, time.Second); response.Code != 503 {
			t.Errorf("record larger than one value: %+v", response)
		}
		checkedCount += checkStoredRecords(t, cluster)
		if checkedCount < 500 || len(cluster.Store.Keys(jobs.ChunkPrefix)) > 0 {
			t.Errorf("%d records were checked; chunks: %v", checkedCount, cluster.Store.Keys(jobs.ChunkPrefix))
		}
		cluster.StartController("n3")
		time.Sleep(3 * time.Second)
		cluster.CrashController("n3") // its version record is enough to open the gate
		for _, spec := range []jobs.Spec{dependentSpec, largeSpec} {
			if response := cluster.Submit("n2", spec, time.Second); response.Code != 201 {
				t.Errorf("%s after all controllers have recorded the new version: %+v", spec.Ref, response)
			}
			if !cluster.WaitForStatus("n0", spec.Ref, jobs.Done, 60*time.Second) {
				t.Errorf("%s: %+v", spec.Ref, cluster.Poll("n0", spec.Ref))
			}
		}
	})
}

// runJobsBeforeUpgrade submits jobs, cancels some of them, restarts a controller, and checks the stored
// records after each step. It returns how many records were checked.
func runJobsBeforeUpgrade(t *testing.T, cluster *fake.Cluster) (checkedCount int) {
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
		checkedCount += checkStoredRecords(t, cluster)
		time.Sleep(300 * time.Millisecond)
	}
	return checkedCount
}
