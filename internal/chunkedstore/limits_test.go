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

var controllers = []string{"n0", "n1", "n2"}

// limitsScenario is a cluster whose store lowers its limits while jobs are submitted.
type limitsScenario struct {
	t       *testing.T
	cluster *fake.Cluster
	refs    []string // refs of the submitted small jobs
}

// The store lowers its limits to 2 KiB a value, 5 writes a transaction and 35 writes a second while
// all kinds of records are written, and some existing records exceed the new limits. All writers
// must continue, and no write may be rejected for its size. Records that are too large for one
// value are written in chunks. Controllers that start later, with empty caches, must be able to
// read and write these records, too.
func TestStoreLimitsAreLoweredWhileInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		s := &limitsScenario{t: t}
		s.startCluster(ctx)
		s.addMachines()
		if err := s.cluster.ChangeSettings("n0", func(settings *admin.Settings) { settings.SpareMachines = 30 }); err != nil {
			t.Fatal(err)
		}
		s.submitWave(1)
		largeSpec := largeJob("wk-9000")
		s.submit(largeSpec, 2*time.Second)
		s.lowerLimits()
		s.submitWave(2)
		largeSpec.Ref = "wk-9001"
		s.submit(largeSpec, 2*time.Second)
		for i := range 400 {
			largeSpec.DependsOn = append(largeSpec.DependsOn, fmt.Sprintf("wk-%d", 700000+i)) // the completion batch that putOldRecords writes records these jobs as done
		}
		largeSpec.Ref, largeSpec.DependsOn = "wk-9002", append(largeSpec.DependsOn, s.refs[len(s.refs)-40:]...)
		s.submit(largeSpec, 2*time.Second)
		s.drainManyMachines()
		s.startLargePipeline()
		for _, node := range controllers {
			s.cluster.CrashController(node)
			s.cluster.StartController(node)
		}
		time.Sleep(5 * time.Second)
		s.waitForJobs(append(s.refs, "wk-1", "wk-9000", "wk-9001", "wk-9002"))
		s.waitForPipeline()
		s.checkRecords()
		stop()
		synctest.Wait()
	})
}

func (s *limitsScenario) startCluster(ctx context.Context) {
	s.t.Helper()
	s.cluster = fake.NewClusterWith(ctx, map[string]string{"n0": "a", "n1": "b", "n2": "b"}, func(cluster *fake.Cluster) {
		cluster.Cfg.Cluster.State.Next = config.StateLimits{WriteRPS: 35, ValueKB: 2, TxnOps: 5}
		cluster.RunPipelines = true
		putOldRecords(s.t, cluster)
	})
	time.Sleep(3 * time.Second)
}

func (s *limitsScenario) addMachines() {
	for i := range 24 {
		s.cluster.AddMachine([]string{"a", "b", "b"}[i%3], false)
	}
	time.Sleep(5 * time.Second)
}

func (s *limitsScenario) lowerLimits() {
	s.cluster.Store.SetMaxValueBytes(2 << 10)
	s.cluster.Store.SetMaxTxnOps(5)
	s.cluster.Store.SetMaxWriteRate(35)
}

// submit submits a job. It retries until the job is accepted, and fails the test after a minute.
func (s *limitsScenario) submit(spec jobs.Spec, runTime time.Duration) {
	s.t.Helper()
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(time.Second) {
		response := s.cluster.Submit(controllers[len(spec.Ref)%3], spec, runTime)
		if response.Code == 201 || response.Code == 200 {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("%s: %+v", spec.Ref, response)
		}
	}
}

// submitWave submits jobs of several kinds. Each kind makes the controllers write different kinds of
// records.
func (s *limitsScenario) submitWave(wave int) {
	s.t.Helper()
	for i := range 12 {
		refOf := func(k int) string { return fmt.Sprintf("wk-%d", wave*1000+10*i+k) }
		for k, spec := range []jobs.Spec{
			fake.JobSpec(refOf(0), jobs.Array, 2, 0.2),                   // small, so that it causes completion batches
			fake.JobSpec(refOf(1), jobs.Array, 60, 0.3),                  // causes task ranges and their compaction
			fake.JobSpec(refOf(2), jobs.Gang, []int{1, 3, 14}[i%3], 2.5), // causes gang assignments and transfers of machines between shards
			fake.JobSpec(refOf(3), jobs.Array, 4, 0.5),                   // causes a quota allocation
		} {
			if k == 3 {
				spec.Team = "capped"
			}
			if i > 4 && k == 1 {
				spec.DependsOn = []string{fmt.Sprintf("wk-%d", wave*1000+10*(i-4)), fmt.Sprintf("wk-%d", wave*1000+10*(i-4)+2)}
			}
			s.submit(spec, 3*time.Second)
			s.refs = append(s.refs, spec.Ref)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// largeJob returns a job whose record is larger than one value may be after the limits are lowered.
func largeJob(ref string) jobs.Spec {
	spec := fake.JobSpec(ref, jobs.Array, 40, 0.2)
	spec.Class = strings.Repeat("c", 5<<10)
	return spec
}

// drainManyMachines adds so many drained machines to the settings that the record of the settings
// does not fit one value.
func (s *limitsScenario) drainManyMachines() {
	s.t.Helper()
	err := s.cluster.ChangeSettings("n2", func(settings *admin.Settings) {
		for i := range 300 {
			settings.Drain = append(settings.Drain, fmt.Sprintf("i-%06d", 500000+i))
		}
	})
	if err != nil {
		s.t.Errorf("change the settings to a large record: %v", err)
	}
}

// startLargePipeline starts a run of a pipeline whose file has 300 jobs.
func (s *limitsScenario) startLargePipeline() {
	s.t.Helper()
	file := "default: {cluster: {class: c, team: ops, image: img, cpus: 0.2, memory_gb: 0.1, estimate_s: 3}}\nstages: [one]\n"
	for i := range 300 {
		file += fmt.Sprintf("street-%d: {stage: one, needs: [], cluster: {tasks: %d, estimate_s: %d.%d}}\n", i*7919%1000003, 1+i%3, 1+i%5, i*37%100)
	}
	plan, _, err := pipeline.Parse([]byte(file), nil, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(time.Second) {
		response := s.cluster.Nodes["n1"].PipelineLeader.Create("run-1", "streets", []byte(file), plan)
		if response.Code == 201 || response.Code == 200 {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("start a run of a large pipeline file: %+v", response)
		}
	}
}

func (s *limitsScenario) waitForJobs(refs []string) {
	s.t.Helper()
	for _, ref := range refs {
		if !s.cluster.WaitForStatus("n0", ref, jobs.Done, 6*time.Minute) {
			s.t.Fatalf("%s: %+v", ref, s.cluster.Poll("n0", ref))
		}
	}
}

func (s *limitsScenario) waitForPipeline() {
	s.t.Helper()
	for deadline := time.Now().Add(8 * time.Minute); ; time.Sleep(time.Second) {
		response := s.cluster.Nodes["n2"].PipelineLeader.Get("run-1")
		if response.Run != nil && response.Run.IsFinished {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("the run is not finished: %+v", response)
		}
	}
}

// checkRecords checks that no write was rejected for its size, that the large settings were read,
// and that no invariant was violated.
func (s *limitsScenario) checkRecords() {
	s.t.Helper()
	if keys := s.cluster.Store.OversizedKeys(); len(keys) > 0 {
		s.t.Errorf("%d writes were rejected because they exceed the limits: %v", len(keys), keys[:min(8, len(keys))])
	}
	if settings, _, ok := s.cluster.Nodes["n1"].Controller.Settings(); !ok || len(settings.Drain) != 300 {
		s.t.Errorf("%d drained machines in the settings, want 300", len(settings.Drain))
	}
	for _, violation := range s.cluster.Violations() {
		s.t.Error("invariant violated:", violation)
	}
}

// putOldRecords writes records that exceed the lowered limits into the store: an array with many
// intervals of unclaimed tasks, and a completion batch.
func putOldRecords(t *testing.T, cluster *fake.Cluster) {
	t.Helper()
	record := jobs.JobRecord{Spec: fake.JobSpec("wk-1", jobs.Array, 700, 0.2), AcceptedAtMS: time.Now().UnixMilli(), AcceptedBy: "n0", CompletedTasks: 350}
	for i := range 350 {
		record.Unclaimed = append(record.Unclaimed, jobs.TaskInterval{First: 2 * i, Count: 1})
	}
	var entries []string
	for i := range 400 {
		entries = append(entries, jobs.FormatBatchEntry(fmt.Sprintf("wk-%d", 700000+i), 2))
	}
	for key, value := range map[string]any{jobs.JobKey("wk-1"): record, jobs.CompletionBatchPrefix + "n1/3": entries} {
		raw, err := json.Marshal(value)
		if err != nil || len(raw) < 5<<10 {
			t.Fatalf("%s: %d bytes, %v", key, len(raw), err)
		}
		cluster.Store.Put(key, raw)
	}
}
