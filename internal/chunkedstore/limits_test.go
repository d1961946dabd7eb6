package chunkedstore_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/config"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
	"cherrywall/internal/pipeline"
)

// The state service lowers its limits in the middle of everything, to values of 2 KiB, 5
// changes a transaction and 35 a second, with records beyond them from before. Every writer
// goes on, none is refused for its size, and what no value holds any more is written in
// parts, by controllers that have never seen it as well.
func TestLimitsAreLoweredWhileAllGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		names := []string{"n0", "n1", "n2"}
		cluster := fake.NewClusterWith(ctx, map[string]string{"n0": "a", "n1": "b", "n2": "b"}, func(cluster *fake.Cluster) {
			cluster.Cfg.Cluster.State.Next = config.StateLimits{WriteRPS: 35, ValueKB: 2, TxnOps: 5}
			cluster.RunPipelines = true
			old(t, cluster)
		})
		time.Sleep(3 * time.Second)
		for i := range 24 {
			cluster.AddMachine([]string{"a", "b", "b"}[i%3], false)
		}
		time.Sleep(5 * time.Second)
		if err := cluster.ChangeSettings("n0", func(s *admin.Settings) { s.SpareMachines = 30 }); err != nil {
			t.Fatal(err)
		}
		submit := func(s jobs.Spec, run time.Duration) {
			t.Helper()
			for end := time.Now().Add(time.Minute); ; time.Sleep(time.Second) {
				r := cluster.Submit(names[len(s.Ref)%3], s, run)
				if r.Code == 201 || r.Code == 200 {
					return
				}
				if time.Now().After(end) {
					t.Fatalf("%s: %+v", s.Ref, r)
				}
			}
		}
		var refs []string
		wave := func(n int) {
			for i := range 12 {
				for k, s := range []jobs.Spec{
					fake.JobSpec(fmt.Sprintf("wk-%d", n*1000+10*i), jobs.Array, 2, 0.2),                     // small, packs
					fake.JobSpec(fmt.Sprintf("wk-%d", n*1000+10*i+1), jobs.Array, 60, 0.3),                  // ranges, folds
					fake.JobSpec(fmt.Sprintf("wk-%d", n*1000+10*i+2), jobs.Gang, []int{1, 3, 14}[i%3], 2.5), // marks, moves of machines
					fake.JobSpec(fmt.Sprintf("wk-%d", n*1000+10*i+3), jobs.Array, 4, 0.5),                   // an allocation
				} {
					if k == 3 {
						s.Team = "capped"
					}
					if i > 4 && k == 1 {
						s.DependsOn = []string{fmt.Sprintf("wk-%d", n*1000+10*(i-4)), fmt.Sprintf("wk-%d", n*1000+10*(i-4)+2)}
					}
					submit(s, 3*time.Second)
					refs = append(refs, s.Ref)
				}
				time.Sleep(300 * time.Millisecond)
			}
		}
		wave(1)
		big := fake.JobSpec("wk-9000", jobs.Array, 40, 0.2)
		big.Class = strings.Repeat("c", 5<<10)
		submit(big, 2*time.Second)
		cluster.Store.SetMaxValueBytes(2 << 10)
		cluster.Store.SetMaxTxnOps(5)
		cluster.Store.SetMaxWriteRate(35)
		wave(2)
		big.Ref = "wk-9001"
		submit(big, 2*time.Second)
		for i := range 400 {
			big.DependsOn = append(big.DependsOn, fmt.Sprintf("wk-%d", 700000+i)) // in the old pack
		}
		big.Ref, big.DependsOn = "wk-9002", append(big.DependsOn, refs[len(refs)-40:]...)
		submit(big, 2*time.Second)
		if err := cluster.ChangeSettings("n2", func(s *admin.Settings) {
			for i := range 300 {
				s.Drain = append(s.Drain, fmt.Sprintf("i-%06d", 500000+i))
			}
		}); err != nil {
			t.Errorf("a large change of the settings: %v", err)
		}
		file := "default: {cluster: {class: c, team: ops, image: img, cpus: 0.2, memory_gb: 0.1, estimate_s: 3}}\nstages: [one]\n"
		for i := range 300 {
			file += fmt.Sprintf("street-%d: {stage: one, needs: [], cluster: {tasks: %d, estimate_s: %d.%d}}\n", i*7919%1000003, 1+i%3, 1+i%5, i*37%100)
		}
		plan, _, err := pipeline.Parse([]byte(file), nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(time.Minute); ; time.Sleep(time.Second) {
			if r := cluster.Nodes["n1"].PipelineLeader.Create("run-1", "streets", []byte(file), plan); r.Code == 201 || r.Code == 200 {
				break
			} else if time.Now().After(end) {
				t.Fatalf("a large file: %+v", r)
			}
		}
		for _, n := range names {
			cluster.CrashController(n)
			cluster.StartController(n)
		}
		time.Sleep(5 * time.Second)
		for _, ref := range append(refs, "wk-1", "wk-9000", "wk-9001", "wk-9002") {
			if !cluster.WaitForStatus("n0", ref, jobs.Done, 6*time.Minute) {
				t.Fatalf("%s: %+v", ref, cluster.Poll("n0", ref))
			}
		}
		for end := time.Now().Add(8 * time.Minute); ; time.Sleep(time.Second) {
			if r := cluster.Nodes["n2"].PipelineLeader.Get("run-1"); r.Run != nil && r.Run.IsFinished {
				break
			} else if time.Now().After(end) {
				t.Fatalf("the run is not over: %+v", r)
			}
		}
		if keys := cluster.Store.OversizedWrites(); len(keys) > 0 {
			t.Errorf("%d writes beyond the limits, %v", len(keys), keys[:min(8, len(keys))])
		}
		if s, _, ok := cluster.Nodes["n1"].Controller.Settings(); !ok || len(s.Drain) != 300 {
			t.Errorf("of the settings %d names are known", len(s.Drain))
		}
		for _, b := range cluster.Violations() {
			t.Error("broken rule:", b)
		}
		stop()
		synctest.Wait()
	})
}

// old are records that were written under the limits before: a scattered array, and a pack.
func old(t *testing.T, cluster *fake.Cluster) {
	t.Helper()
	rec := jobs.JobRecord{Spec: fake.JobSpec("wk-1", jobs.Array, 700, 0.2), AcceptedAtMS: time.Now().UnixMilli(), AcceptedBy: "n0", Completed: 350}
	for i := range 350 {
		rec.Unclaimed = append(rec.Unclaimed, jobs.TaskInterval{First: 2 * i, Count: 1})
	}
	var names []string
	for i := range 400 {
		names = append(names, jobs.BatchEntry(fmt.Sprintf("wk-%d", 700000+i), 2))
	}
	for key, v := range map[string]any{jobs.JobKey("wk-1"): rec, jobs.CompletionBatchPrefix + "n1/3": names} {
		raw, err := json.Marshal(v)
		if err != nil || len(raw) < 5<<10 {
			t.Fatalf("%s: %d bytes, %v", key, len(raw), err)
		}
		cluster.Store.Put(key, raw)
	}
}
