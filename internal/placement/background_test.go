package placement

import (
	"fmt"
	"testing"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/cloud"
	"cherrywall/internal/config"
	"cherrywall/internal/jobs"
	"cherrywall/internal/worker"
)

// A guest's long tasks took all the room within seconds, and work with deadlines
// of the same priority, which may not stop them, waited for minutes.
func TestBackgroundWorkLeavesRoomToClassesWithAnAim(t *testing.T) {
	a := quiet(t)
	a.cfg.Cluster.Objectives = []config.Objective{{Kind: "deadline", Class: "own"}}
	a.synced, a.watchPos, a.fresh = true, 100, time.Now()
	a.flavors["m16"] = cloud.Flavor{SKU: "m16", CPU: 16, MemGB: 64, StartupS: 15}
	for i := range 10 {
		host := fmt.Sprintf("i-%d", i)
		a.applyWrite(jobs.WorkerPrefix+host, encode(worker.Record{Share: "n0", Build: "m16", Zone: "a"}), 3)
	}
	a.applyWrite(jobs.SharePrefix+"n0", encode(shareEntry{Holder: "n0", Boot: 7}), 4)
	for _, m := range a.workers {
		m.heard = true
		a.recount(m)
	}
	due := 60.0
	own := jobs.Spec{Class: "own", Kind: jobs.Array, Urgency: "idle", Tasks: 40, CPU: 2, EstimateS: 20, DueS: &due}
	for i := range 4 {
		own.Ref = fmt.Sprintf("wk-%d", i)
		a.arrived(&jobs.Record{Spec: own})
		a.classes["own"].arrivals[i].at = time.Now().Add(-time.Duration(40-10*i) * time.Second)
	}
	spec := jobs.Spec{Ref: "wk-9", Class: "guest", Kind: jobs.Array, Urgency: "idle", Tasks: 200, CPU: 1, EstimateS: 300, Spot: true}
	a.applyWrite(jobs.JobKey("wk-9"), encode(jobs.Record{Spec: spec, AcceptedMS: time.Now().UnixMilli()}), 5)
	guest := a.jobs["wk-9"]
	if !guest.background || !guest.leftover {
		t.Fatalf("the guest's work: %+v", guest)
	}
	allow := func(g capacity.Group) bool { return allowed(&guest.rec, g) }
	n := a.counts().Allocable(guest.need, allow, a.buffers(guest))
	if n < 20 || n > 130 {
		t.Errorf("%d of 160 CPUs are open to the guest", n)
	}
	for i := range a.classes["own"].arrivals { // then no more of the others come
		a.classes["own"].arrivals[i].at = time.Now().Add(-5 * time.Minute)
	}
	a.round = round{}
	if n := a.counts().Allocable(guest.need, allow, a.buffers(guest)); n != 160 {
		t.Errorf("%d of 160 CPUs are open while nothing else comes", n)
	}
	// Neither forgotten.
	guest.rec.AcceptedMS -= (6 * time.Minute).Milliseconds()
	if a.isLeftover(guest, time.Now()) {
		t.Error("no machine is rented for it, however long it waits")
	}
}
