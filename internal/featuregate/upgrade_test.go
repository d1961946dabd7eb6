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

func runScenario(t *testing.T, set func(cluster *fake.Cluster), tale func(cluster *fake.Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		cluster := fake.NewClusterWith(ctx, map[string]string{"n0": "a", "n1": "b", "n2": "b"}, func(cluster *fake.Cluster) {
			cluster.OfferedTypes[0].CPU, cluster.OfferedTypes[0].MemGB = 8, 32
			set(cluster)
		})
		time.Sleep(5 * time.Second)
		tale(cluster)
		for _, b := range cluster.Violations() {
			t.Error("broken rule:", b)
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

// Controllers that have never seen them take production's records over, answer for all of
// their jobs, and bring those to their end that can have one.
func TestProductionsRecordsAreTakenOver(t *testing.T) {
	rows := productionRecords(t)
	runScenario(t, func(cluster *fake.Cluster) {
		for key, value := range rows {
			if !strings.HasPrefix(key, jobs.LivenessPrefix) { // their grants have ended
				cluster.Store.Put(key, value)
			}
		}
	}, func(cluster *fake.Cluster) {
		for i := range 5 {
			cluster.AddMachine([]string{"a", "b"}[i%2], false)
		}
		// The old machines never come back; the last is silent for as long as anybody may
		// have kept it alive.
		time.Sleep(90 * time.Second)
		jobsKnown := 0
		for key := range rows {
			ref, ok := strings.CutPrefix(key, jobs.JobPrefix)
			if !ok {
				if ref, ok = strings.CutPrefix(key, jobs.FinalPrefix); !ok {
					continue
				}
			}
			jobsKnown++
			want := jobs.Queued
			switch {
			case ref == "wk-604":
				want = jobs.Cancelled
			case strings.HasPrefix(ref, "wk-50"):
				want = jobs.Done
			case ref == "wk-602" || ref == "wk-603" || ref == "wk-601": // too large for these machines, or without an end
				want = ""
			default:
				want = jobs.Done
			}
			if want != "" && !cluster.WaitForStatus("n1", ref, want, 200*time.Second) || cluster.Poll("n2", ref).Code != 200 {
				t.Errorf("%s: %+v, want %s", ref, cluster.Poll("n1", ref), want)
			}
		}
		if jobsKnown < 15 {
			t.Errorf("the fixture has only %d jobs", jobsKnown)
		}
	})
}

// What controllers say to one another is as it was, both ways.
func TestProductionsFramesAreReadAndWrittenAlike(t *testing.T) {
	raw, err := os.ReadFile("testdata/production/frames.json")
	if err != nil {
		t.Fatal(err)
	}
	var frames [][]byte
	if err := json.Unmarshal(raw, &frames); err != nil {
		t.Fatal(err)
	}
	pieces, counts := 0, 0
	for _, f := range frames {
		b, err := peer.ReadFrame(bytes.NewReader(f))
		if err != nil {
			t.Fatal(err)
		}
		if b.TransferChunk != nil {
			pieces += len(b.TransferChunk.Machines)
		}
		counts += len(b.Capacities)
		if !bytes.Equal(peer.Encode(b), f) {
			t.Errorf("the frame of %s is written otherwise", b.Node)
		}
	}
	if pieces < 2 || counts < 3 {
		t.Errorf("the fixture tells little: %d machines, %d counts", pieces, counts)
	}
}

// Production's records as its program had them, frozen: what it does not know is lost when
// it writes a record again.
type (
	oldSpan struct {
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
		Free        []oldSpan      `json:"free"`
		Completed   int            `json:"d,omitempty"`
		Own         *oldOwn        `json:"own,omitempty"`
		Sole        bool           `json:"sole,omitempty"`
		PerZone     map[string]int `json:"pz,omitempty"`
	}
	oldOwn struct {
		Share  string `json:"share"`
		Tenure uint64 `json:"tenure"`
		N      int    `json:"n"`
	}
	oldRange struct {
		Share string   `json:"share"`
		N     int      `json:"n"`
		Done  []byte   `json:"done,omitempty"`
		Zone  string   `json:"zone,omitempty"`
		On    []string `json:"on,omitempty"`
	}
	oldFinal struct {
		Status string `json:"s"`
		Tasks  int    `json:"n"`
	}
	oldShare struct {
		Holder  string  `json:"holder"`
		Boot    uint64  `json:"boot"`
		Takings []int64 `json:"takings,omitempty"`
		Marks   *uint64 `json:"marks,omitempty"`
	}
	oldWorker struct {
		Share   string `json:"share"`
		Addr    string `json:"addr"`
		Build   string `json:"build"`
		Zone    string `json:"zone"`
		Spot    bool   `json:"spot"`
		SinceMS int64  `json:"at"`
	}
)

var oldShapes = []struct {
	prefix string
	make   func() any
}{
	{jobs.JobPrefix, func() any { return new(oldJob) }},
	{jobs.RangePrefix, func() any { return new(oldRange) }},
	{jobs.FinalPrefix, func() any { return new(oldFinal) }},
	{jobs.ShardPrefix, func() any { return new(oldShare) }},
	{jobs.WorkerPrefix, func() any { return new(oldWorker) }},
	{jobs.CompletionBatchPrefix, func() any { return new([]string) }},
}

// carries tells whether production's program would write a record again as it is.
func carries(key string, value json.RawMessage) (known bool, err error) {
	for _, s := range oldShapes {
		if !strings.HasPrefix(key, s.prefix) {
			continue
		}
		into := s.make()
		dec := json.NewDecoder(bytes.NewReader(value))
		dec.DisallowUnknownFields()
		if err := dec.Decode(into); err != nil {
			return true, fmt.Errorf("%s: production can't carry %s: %w", key, value, err)
		}
		again, err := json.Marshal(into)
		var x, y any
		if err != nil || json.Unmarshal(again, &x) != nil || json.Unmarshal(value, &y) != nil || !reflect.DeepEqual(x, y) {
			return true, fmt.Errorf("%s: %s becomes %s", key, value, again)
		}
		return true, nil
	}
	return false, nil
}

func TestTheFrozenShapesAreProductions(t *testing.T) {
	known := 0
	for key, value := range productionRecords(t) {
		k, err := carries(key, value)
		if err != nil {
			t.Error(err)
		}
		if k {
			known++
		}
	}
	if known < 40 {
		t.Errorf("%d records are of known shapes", known)
	}
	rec := jobs.JobRecord{Spec: fake.JobSpec("wk-1", jobs.Array, 1, 1)}
	rec.DependsOn = []string{"wk-2"}
	if raw, _ := json.Marshal(rec); raw != nil {
		if _, err := carries(jobs.JobKey("wk-1"), raw); err == nil {
			t.Error("production would carry awaits: the shapes tell nothing")
		}
	}
}

// Until the last controller has said that it is new, dead or not, whatever is written can
// be carried by the version before, nothing is in parts, and awaits is answered with when to
// come back. After that it is taken.
func TestNothingNewIsWrittenBeforeAllAreNew(t *testing.T) {
	runScenario(t, func(cluster *fake.Cluster) {
		cluster.Cfg.Peers = append(cluster.Cfg.Peers, config.Peer{Node: "n3", Zone: "a"}) // down since long ago
	}, func(cluster *fake.Cluster) {
		for i := range 8 {
			cluster.AddMachine([]string{"a", "b"}[i%2], false)
		}
		time.Sleep(5 * time.Second)
		looked := 0
		look := func() {
			for _, key := range cluster.Store.Keys(jobs.Prefix) {
				value, _ := cluster.Store.Value(key)
				known, err := carries(key, json.RawMessage(value))
				if err != nil {
					t.Fatal(err)
				}
				if known {
					looked++
				}
			}
		}
		for i := range 40 {
			s := fake.JobSpec(fmt.Sprintf("wk-%d", 100+i), []string{jobs.Array, jobs.Gang}[i%2], 1+i%7, 1)
			s.Spread = i%5 == 0
			if r := cluster.Submit(fmt.Sprintf("n%d", i%3), s, 3*time.Second); r.Code != 201 {
				t.Fatalf("%+v", r)
			}
			if i%9 == 4 {
				cluster.Cancel("n1", s.Ref)
			}
			if i == 20 {
				cluster.CrashController("n0")
				cluster.StartController("n0")
				time.Sleep(2 * time.Second)
			}
			look()
			time.Sleep(300 * time.Millisecond)
		}
		next := fake.JobSpec("wk-900", jobs.Array, 2, 1)
		next.DependsOn = []string{"wk-101"}
		if r := cluster.Submit("n1", next, time.Second); r.Code != 503 || !strings.Contains(r.Error, "n3") {
			t.Errorf("with one controller old: %+v", r)
		}
		big := fake.JobSpec("wk-901", jobs.Array, 2, 1)
		big.Class = strings.Repeat("c", 20<<10)
		if r := cluster.Submit("n1", big, time.Second); r.Code != 503 {
			t.Errorf("larger than a value: %+v", r)
		}
		look()
		if looked < 500 || len(cluster.Store.Keys(jobs.ChunkPrefix)) > 0 {
			t.Errorf("%d records were looked at; parts: %v", looked, cluster.Store.Keys(jobs.ChunkPrefix))
		}
		cluster.StartController("n3")
		time.Sleep(3 * time.Second)
		cluster.CrashController("n3") // it has said so, that is enough
		for _, s := range []jobs.Spec{next, big} {
			if r := cluster.Submit("n2", s, time.Second); r.Code != 201 {
				t.Errorf("%s with all new: %+v", s.Ref, r)
			}
			if !cluster.WaitForStatus("n0", s.Ref, jobs.Done, 60*time.Second) {
				t.Errorf("%s: %+v", s.Ref, cluster.Poll("n0", s.Ref))
			}
		}
	})
}
