package faultinjection

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/fake"
	"cherrywall/internal/jobs"
)

const (
	arrayMachines    = 6   // number of machines at the start of a run of RunArrays
	minArrayMachines = 3   // below which one is added
	arrayRunSteps    = 100 // number of random steps of such a run
	maxArrayTasks    = 6   // largest number of tasks of an array; up to four, it may be claimed as a whole
	// maxMachineFaultMS is the longest time in ms from a submission until a machine stops, or works again.
	maxMachineFaultMS = 12_000
	arrayFaultSeed    = 59 // second part of the seed of each run
)

// RunArrays is like RunCombined with few machines and small arrays only. The arrays may be bound to a zone, to
// any one zone, or spread over zones, and no machines are added once the faults are over. So a task that lost its
// machine can't be helped by others that come later. The run does not check that all jobs end, since the machines of
// a zone may be gone, but that none waits while there is capacity.
func RunArrays(t *testing.T, seed uint64) (violations []string) {
	t.Helper()
	return RunWith(t, arrayMachines, func(cluster *fake.Cluster) {
		cluster.ConnectPeers = seed%2 == 1
		cluster.SetImageFetchTime(time.Duration(seed%3) * time.Second)
	}, func(r *FaultRun) {
		rnd := rand.New(rand.NewPCG(seed, arrayFaultSeed))
		if err := r.ChangeSettings("n0", func(s *admin.Settings) { s.SpareMachines = 2 * arrayMachines }); err != nil {
			r.reportViolation("settings not changed: %v", err)
		}
		r.CombineFaults, r.minMachines = true, minArrayMachines
		r.alterSpec = func(spec *jobs.Spec) {
			restrictToZones(spec, rnd)
			r.injectMachineFault(rnd)
		}
		r.InjectFaults(rand.New(rand.NewPCG(seed, faultSeed)), arrayRunSteps)
		for _, host := range r.Hosts() {
			r.FailTasksOn(host, false)
		}
		r.checkRecovery()
		r.checkCancelledTasks()
	})
}

// injectMachineFault makes, in half of the calls, a random machine stop with all that is on it, or fail all its
// tasks for a while. Both happen within maxMachineFaultMS.
func (r *FaultRun) injectMachineFault(rnd *rand.Rand) {
	hosts := r.Hosts()
	host := randomElement(rnd, hosts)
	delay := randomMilliseconds(rnd, maxMachineFaultMS)
	switch kind := rnd.IntN(6); {
	case kind < 2 && len(hosts) > r.minMachines:
		time.AfterFunc(delay, func() { _ = r.Release(context.Background(), []string{host}) }) // it never fails
	case kind == 2:
		r.FailTasksOn(host, true)
		time.AfterFunc(delay, func() { r.FailTasksOn(host, false) })
	}
}

// restrictToZones makes a job a small array, and draws in which zones its tasks may run.
func restrictToZones(spec *jobs.Spec, rnd *rand.Rand) {
	spec.Kind, spec.Urgency, spec.Tasks = jobs.Array, "normal", 1+rnd.IntN(maxArrayTasks)
	spec.Team, spec.CPU = "ops", 1+float64(rnd.IntN(4))
	switch rnd.IntN(4) {
	case 0:
		spec.Spread = spec.Tasks > 1
	case 1:
		spec.OneZone = true
	case 2:
		zone := randomElement(rnd, zones)
		spec.Zone = &zone
	}
}
