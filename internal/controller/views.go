package controller

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/admin"
	"cherrywall/internal/capacity"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/failuredetector"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// Settings returns the operators' settings in force and their version.
func (a *Controller) Settings() (admin.Settings, uint64, bool) {
	type answer struct {
		s  admin.Settings
		v  uint64
		ok bool
	}
	r, _ := actor.Ask(a.mailbox, func() (r answer) {
		r.s, r.v = a.cache.Settings()
		r.ok = a.cache.Synced()
		return r
	})
	return r.s, r.v, r.ok
}

// ChangeSettings stores new settings if nobody changed them since version.
func (a *Controller) ChangeSettings(s admin.Settings, version uint64) (uint64, error) {
	type answer struct {
		v   uint64
		err error
	}
	out := make(chan answer, 1)
	a.mailbox.Send(func() {
		a.cache.ChangeSettings(s, version, func(version uint64, err error) { out <- answer{version, err} })
	})
	select {
	case r := <-out:
		return r.v, r.err
	case <-a.mailbox.Context().Done():
		return 0, admin.ErrUnavailable
	}
}

// IsFirstLiveMember tells whether this controller is the first in the order of names of those that
// live: what any one of them may do, and one is enough for, is left to it.
func (a *Controller) IsFirstLiveMember() bool {
	first, _ := actor.Ask(a.mailbox, a.isFirstLiveMember)
	return first
}

func (a *Controller) isFirstLiveMember() bool {
	for _, n := range a.members.Controllers() {
		if a.members.IsLive(n, 0) {
			return n == a.cfg.Node
		}
	}
	return false
}

// View is a read-only picture for operators; ok is false as long as nothing was read.
func (a *Controller) View(name string) (any, bool) {
	v, _ := actor.Ask(a.mailbox, func() any {
		if !a.cache.Synced() {
			return nil
		}
		return a.buildView(name)
	})
	return v, v != nil
}

type shardView struct {
	Shard      string `json:"share"`
	Owner      string `json:"holder"`
	OwnerAlive bool   `json:"live"`
	Epoch      uint64 `json:"baton"`
	Reconciled bool   `json:"settled"`
	Workers    int    `json:"workers"`
}

type workerView struct {
	Worker      string              `json:"worker"`
	Shard       string              `json:"share"`
	MachineType string              `json:"build"`
	Zone        string              `json:"zone"`
	Spot        bool                `json:"spot"`
	OwnedHere   bool                `json:"held_here"`
	State       string              `json:"state,omitempty"`
	Free        *capacity.Resources `json:"free,omitempty"`
	Tasks       []taskView          `json:"tasks,omitempty"`
	Errors      int                 `json:"errors,omitempty"`
}

type taskView struct {
	Task     string `json:"task"`
	Attempt  uint64 `json:"attempt"`
	Status   string `json:"status"`
	Stopping bool   `json:"stopping,omitempty"`
}

// JobView is an unfinished job as operators see it.
type JobView struct {
	Job            string  `json:"job"`
	Class          string  `json:"class"`
	Team           string  `json:"team"`
	Priority       string  `json:"priority"`
	Tasks          int     `json:"tasks"`
	Done           int     `json:"done"`
	Running        int     `json:"running"`
	UnclaimedTasks int     `json:"unclaimed"`
	WaitSeconds    float64 `json:"waits_s"`
	WaitReason     string  `json:"why,omitempty"`
	// WaitsFor are the jobs that it waits for, Behind how many wait for it. Effective is the
	// priority it has for their sake, DueS in how many seconds it should be done for it.
	WaitsFor          []string `json:"waits_for,omitempty"`
	Dependents        int      `json:"behind,omitempty"`
	EffectivePriority string   `json:"effective"`
	DueInSeconds      *float64 `json:"due_in_s"`
}

// upgradeView is what controllers run, and what follows from it.
type upgradeView struct {
	GateOpen    bool               `json:"open"` // dependent jobs are taken
	WaitsFor    []string           `json:"waits_for"`
	Controllers []versionView      `json:"controllers"`
	Limits      map[string]float64 `json:"limits"` // of the state service, as writes keep to them
}

type versionView struct {
	Node                 string `json:"controller"`
	Version              int    `json:"version"`
	SupportsDependencies bool   `json:"knows_awaits"`
}

func (a *Controller) viewUpgrade() any {
	l := a.cfg.EffectiveStateLimits()
	v := upgradeView{GateOpen: a.gate.IsOpen(), WaitsFor: append([]string{}, a.gate.PendingControllers()...), Limits: map[string]float64{
		"requests_per_s": l.RPS, "changes_per_s": l.WriteRPS, "value_kb": l.ValueKB, "txn_ops": float64(l.TxnOps)}}
	for _, n := range a.members.Controllers() {
		v.Controllers = append(v.Controllers, versionView{n, a.gate.VersionOf(n), !slices.Contains(v.WaitsFor, n)})
	}
	return v
}

type fleetView struct {
	Machines   map[string]int `json:"machines"`
	HourlyCost float64        `json:"cost_per_hour"`
}

func (a *Controller) buildView(name string) any {
	switch name {
	case "shares":
		return a.viewShards()
	case "members":
		return a.viewMembers()
	case "handovers":
		return a.handover.Transfers(time.Now())
	case "start":
		return a.reconciler.Views(time.Now())
	case "workers":
		return a.viewWorkers()
	case "counts":
		return a.scheduler.CapacityTable()
	case "jobs":
		return a.viewJobs()
	case "doctor":
		return a.diagnose()
	case "upgrade":
		return a.viewUpgrade()
	case "troubles":
		return a.problems(time.Now())
	}
	v := fleetView{Machines: map[string]int{}}
	for machine := range a.state.Machines() {
		f, _ := a.machineTypes.Get(machine.Record().MachineType)
		kind, price := "/ordinary", f.HourlyPrice
		if machine.Record().Spot {
			kind, price = "/spot", f.SpotHourlyPrice
		}
		v.Machines[machine.Record().Zone+"/"+machine.Record().MachineType+kind]++
		v.HourlyCost += price
	}
	return v
}

func (a *Controller) viewShards() any {
	out := []shardView{}
	for _, shard := range a.members.Shards() {
		v := shardView{Shard: shard.ID(), Owner: shard.Owner(), OwnerAlive: a.members.OwnerIsLive(shard), Epoch: shard.Epoch(),
			Reconciled: shard.IsReconciled() || !shard.IsLocal()}
		for machine := range a.state.Machines() {
			if machine.Record().Shard == shard.ID() {
				v.Workers++
			}
		}
		out = append(out, v)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Shard < out[k].Shard })
	return out
}

// memberView is a controller as this one sees it.
type memberView struct {
	Node                string   `json:"controller"`
	State               string   `json:"state"`
	HeartbeatAgeSeconds *float64 `json:"beat_s"`         // age of its last beat; null: none, or this one
	StoreSilentSeconds  float64  `json:"state_silent_s"` // since the state service answered it, by its last word
	OwnedShards         []string `json:"holds"`
	LongestOwnedSeconds float64  `json:"held_s"` // the longest of them, as far as known here
}

func (a *Controller) viewMembers() any {
	now := time.Now()
	out := []memberView{}
	for _, n := range a.members.Controllers() {
		v := memberView{Node: n, OwnedShards: []string{}}
		live := a.members.IsLive(n, 0)
		b, age, heard := a.peers.Latest(n, now)
		if n == a.cfg.Node {
			v.State, v.StoreSilentSeconds = memberState(live, true, a.isLeaving), now.Sub(a.cache.LastContactAt()).Seconds()
		} else {
			v.State = memberState(live, heard && age < tuning.PeerIdleTimeout, a.peers.IsLeaving(n, now))
			if s := a.detector.State(n, now); s == failuredetector.Suspected || s == failuredetector.Failed {
				v.State = string(s)
			}
		}
		if heard {
			s := age.Seconds()
			v.HeartbeatAgeSeconds, v.StoreSilentSeconds = &s, (b.StoreSilentFor + age).Seconds()
		}
		for _, shard := range a.members.Shards() {
			if shard.Owner() == n && a.members.OwnerIsLive(shard) {
				v.OwnedShards, v.LongestOwnedSeconds = append(v.OwnedShards, shard.ID()), max(v.LongestOwnedSeconds, now.Sub(shard.KnownSince()).Seconds())
			}
		}
		out = append(out, v)
	}
	return out
}

// memberState puts into words whether a controller's grant runs, and whether it speaks.
func memberState(live, heard, leaving bool) string {
	switch {
	case leaving:
		return "leaving"
	case live && heard:
		return "alive"
	case live:
		return "alive, but not heard"
	case heard:
		return "heard, but its grant has ended"
	}
	return "failed"
}

func machineState(machine *clusterstate.Machine) string {
	switch {
	case machine.IsReleased():
		return "returned"
	case machine.IsLost():
		return "silent"
	case machine.IsReleasing():
		return "being returned"
	case machine.IsCordoned():
		return "drained"
	case machine.IsPreempted():
		return "recalled"
	case machine.IsMoving():
		return "moving"
	case machine.HasNoInbound():
		return "deaf"
	case machine.IsSuspected():
		return "in doubt"
	case !machine.HasReported():
		return "unheard"
	case machine.IsSurplus():
		return "surplus"
	}
	return "in use"
}

func (a *Controller) viewWorkers() any {
	out := []workerView{}
	for machine := range a.state.Machines() {
		v := workerView{Worker: machine.Host(), Shard: machine.Record().Shard, MachineType: machine.Record().MachineType, Zone: machine.Record().Zone, Spot: machine.Record().Spot}
		if a.state.OwnedShard(machine) != nil {
			room := a.state.Free(machine)
			v.OwnedHere, v.State, v.Free, v.Errors = true, machineState(machine), &room, a.faults.FailureCount(machine.Host())
			for assignment := range machine.Assignments() {
				v.Tasks = append(v.Tasks, taskView{assignment.Name(), assignment.Attempt(), assignment.Status().WorkerStatus, assignment.Status().Stopping})
			}
		}
		out = append(out, v)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Worker < out[k].Worker })
	return out
}

func (a *Controller) viewJobs() any {
	now := time.Now()
	out := []JobView{}
	for job := range a.state.Jobs() {
		if job.HasEnded() {
			continue
		}
		rec := job.Record()
		v := JobView{Job: job.Ref(), Class: rec.Class, Team: rec.Team, Priority: rec.Urgency, Tasks: rec.Tasks, UnclaimedTasks: rec.UnclaimedCount()}
		v.Done, v.Running = job.Progress()
		v.WaitsFor, v.Dependents, v.EffectivePriority = job.DependencyNode().OpenDependencies(), job.DependencyNode().DependentCount(), jobs.PriorityName(job.Priority())
		if by := job.Deadlines().DueMS; by != jobdag.NoDeadline {
			s := float64(by-now.UnixMilli()) / 1000
			v.DueInSeconds = &s
		}
		switch {
		case job.IsCancelledByDependency():
			v.WaitReason = "a job that it needs is cancelled, and so is this one"
		case job.IsBlocked():
			v.WaitSeconds, v.WaitReason = job.Age(now).Seconds(), "for other jobs: "+abbreviate(v.WaitsFor)
		case v.UnclaimedTasks > 0 || a.faults.IsJobFaulty(job.Ref()):
			v.WaitSeconds, v.WaitReason = job.Age(now).Seconds(), a.scheduler.WaitReason(job)
		default:
			if why := a.waitReason(job); why != "" {
				v.WaitSeconds, v.WaitReason = job.Age(now).Seconds(), why
			}
		}
		out = append(out, v)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Job < out[k].Job })
	return out
}

// abbreviate names a few of many.
func abbreviate(names []string) string {
	if n := len(names) - tuning.MaxListedNames; n > 0 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:tuning.MaxListedNames], ", "), n)
	}
	return strings.Join(names, ", ")
}

// Gauges are a few numbers for the metrics.
func (a *Controller) Gauges() map[string]float64 {
	g, _ := actor.Ask(a.mailbox, func() map[string]float64 {
		g := map[string]float64{"jobs_unfinished": 0, "tasks_unclaimed": 0, "tasks_here": 0, "workers_here": 0,
			"shares_held": float64(len(a.members.LocalShards())), "state_silent_seconds": time.Since(a.cache.LastContactAt()).Seconds()}
		g["jobs_waiting_for_others"] = float64(a.state.Dependencies().BlockedCount())
		g["upgrade_open"] = 0
		if a.gate.IsOpen() {
			g["upgrade_open"] = 1
		}
		for job := range a.state.Jobs() {
			if !job.HasEnded() {
				g["jobs_unfinished"]++
				g["tasks_unclaimed"] += float64(job.Record().UnclaimedCount())
			}
		}
		for _, v := range a.reconciler.Views(time.Now()) {
			g["start_machines_waited_for"] += float64(v.UnconfirmedWorkers)
			g["start_tasks_unaccounted"] += float64(v.UnaccountedTasks)
		}
		_, machines := a.state.Sizes()
		g["workers"] = float64(machines)
		for _, machine := range a.state.OwnedMachines() {
			g["workers_here"]++
			g["tasks_here"] += float64(machine.AssignmentCount())
		}
		return g
	})
	return g
}
