package placement

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/books"
	"cherrywall/internal/capacity"
	"cherrywall/internal/depend"
	"cherrywall/internal/detector"
	"cherrywall/internal/jobs"
	"cherrywall/internal/loop"
	"cherrywall/internal/tuning"
)

// Settings returns the operators' settings in force and their version.
func (a *Actor) Settings() (admin.Settings, uint64, bool) {
	type answer struct {
		s  admin.Settings
		v  uint64
		ok bool
	}
	r, _ := loop.Ask(a.loop, func() (r answer) {
		r.s, r.v = a.mirror.Settings()
		r.ok = a.mirror.Synced()
		return r
	})
	return r.s, r.v, r.ok
}

// ChangeSettings stores new settings if nobody changed them since version.
func (a *Actor) ChangeSettings(s admin.Settings, version uint64) (uint64, error) {
	type answer struct {
		v   uint64
		err error
	}
	out := make(chan answer, 1)
	a.loop.Tell(func() {
		a.mirror.ChangeSettings(s, version, func(version uint64, err error) { out <- answer{version, err} })
	})
	select {
	case r := <-out:
		return r.v, r.err
	case <-a.loop.Context().Done():
		return 0, admin.ErrUnavailable
	}
}

// First tells whether this controller is the first in the order of names of those that
// live: what any one of them may do, and one is enough for, is left to it.
func (a *Actor) First() bool {
	first, _ := loop.Ask(a.loop, a.first)
	return first
}

func (a *Actor) first() bool {
	for _, n := range a.holders.Names() {
		if a.holders.IsLive(n, 0) {
			return n == a.cfg.Node
		}
	}
	return false
}

// View is a read-only picture for operators; ok is false as long as nothing was read.
func (a *Actor) View(name string) (any, bool) {
	v, _ := loop.Ask(a.loop, func() any {
		if !a.mirror.Synced() {
			return nil
		}
		return a.view(name)
	})
	return v, v != nil
}

type shareView struct {
	Share   string `json:"share"`
	Holder  string `json:"holder"`
	Live    bool   `json:"live"`
	Token   uint64 `json:"baton"`
	Settled bool   `json:"settled"`
	Workers int    `json:"workers"`
}

type workerView struct {
	Worker string        `json:"worker"`
	Share  string        `json:"share"`
	Build  string        `json:"build"`
	Zone   string        `json:"zone"`
	Spot   bool          `json:"spot"`
	Here   bool          `json:"held_here"`
	State  string        `json:"state,omitempty"`
	Free   *capacity.Vec `json:"free,omitempty"`
	Tasks  []taskView    `json:"tasks,omitempty"`
	Errors int           `json:"errors,omitempty"`
}

type taskView struct {
	Task    string `json:"task"`
	Attempt uint64 `json:"attempt"`
	Status  string `json:"status"`
	Stop    bool   `json:"stopping,omitempty"`
}

// JobView is an unfinished job as operators see it.
type JobView struct {
	Job      string  `json:"job"`
	Class    string  `json:"class"`
	Team     string  `json:"team"`
	Priority string  `json:"priority"`
	Tasks    int     `json:"tasks"`
	Done     int     `json:"done"`
	Running  int     `json:"running"`
	Free     int     `json:"unclaimed"`
	WaitS    float64 `json:"waits_s"`
	Why      string  `json:"why,omitempty"`
	// After are the jobs that it waits for, Behind how many wait for it. Effective is the
	// priority it has for their sake, DueS in how many seconds it should be done for it.
	After     []string `json:"waits_for,omitempty"`
	Behind    int      `json:"behind,omitempty"`
	Effective string   `json:"effective"`
	DueS      *float64 `json:"due_in_s"`
}

// upgradeView is what controllers run, and what follows from it.
type upgradeView struct {
	Open        bool               `json:"open"` // dependent jobs are taken
	Waits       []string           `json:"waits_for"`
	Controllers []versionView      `json:"controllers"`
	Limits      map[string]float64 `json:"limits"` // of the state service, as writes keep to them
}

type versionView struct {
	Node    string `json:"controller"`
	Version int    `json:"version"`
	Knows   bool   `json:"knows_awaits"`
}

func (a *Actor) viewUpgrade() any {
	l := a.cfg.Limits()
	v := upgradeView{Open: a.gate.Open(), Waits: append([]string{}, a.gate.Awaited()...), Limits: map[string]float64{
		"requests_per_s": l.RPS, "changes_per_s": l.WriteRPS, "value_kb": l.ValueKB, "txn_ops": float64(l.TxnOps)}}
	for _, n := range a.holders.Names() {
		v.Controllers = append(v.Controllers, versionView{n, a.gate.VersionOf(n), !slices.Contains(v.Waits, n)})
	}
	return v
}

type fleetView struct {
	Machines map[string]int `json:"machines"`
	Hourly   float64        `json:"cost_per_hour"`
}

func (a *Actor) view(name string) any {
	switch name {
	case "shares":
		return a.viewShares()
	case "members":
		return a.viewMembers()
	case "handovers":
		return a.handover.Views(time.Now())
	case "start":
		return a.recovery.Views(time.Now())
	case "workers":
		return a.viewWorkers()
	case "counts":
		return a.decider.Table()
	case "jobs":
		return a.viewJobs()
	case "doctor":
		return a.viewDoctor()
	case "upgrade":
		return a.viewUpgrade()
	case "troubles":
		return a.troubles(time.Now())
	}
	v := fleetView{Machines: map[string]int{}}
	for m := range a.books.Machines() {
		f, _ := a.types.Flavor(m.Rec().Build)
		kind, price := "/ordinary", f.Hourly
		if m.Rec().Spot {
			kind, price = "/spot", f.SpotHourly
		}
		v.Machines[m.Rec().Zone+"/"+m.Rec().Build+kind]++
		v.Hourly += price
	}
	return v
}

func (a *Actor) viewShares() any {
	out := []shareView{}
	for _, s := range a.holders.Shares() {
		v := shareView{Share: s.ID(), Holder: s.Holder(), Live: a.holders.HolderLives(s), Token: s.Stamp(),
			Settled: s.Settled() || !s.Mine()}
		for m := range a.books.Machines() {
			if m.Rec().Share == s.ID() {
				v.Workers++
			}
		}
		out = append(out, v)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Share < out[k].Share })
	return out
}

// memberView is a controller as this one sees it.
type memberView struct {
	Node    string   `json:"controller"`
	State   string   `json:"state"`
	BeatS   *float64 `json:"beat_s"`         // age of its last beat; null: none, or this one
	SilentS float64  `json:"state_silent_s"` // since the state service answered it, by its last word
	Holds   []string `json:"holds"`
	HeldS   float64  `json:"held_s"` // the longest of them, as far as known here
}

func (a *Actor) viewMembers() any {
	now := time.Now()
	out := []memberView{}
	for _, n := range a.holders.Names() {
		v := memberView{Node: n, Holds: []string{}}
		live := a.holders.IsLive(n, 0)
		b, age, heard := a.others.Last(n, now)
		if n == a.cfg.Node {
			v.State, v.SilentS = memberState(live, true, a.leaving), now.Sub(a.mirror.Contact()).Seconds()
		} else {
			v.State = memberState(live, heard && age < tuning.PeerIdle, a.others.Leaving(n, now))
			if s := a.detector.State(n, now); s == detector.Suspected || s == detector.Failed {
				v.State = string(s)
			}
		}
		if heard {
			s := age.Seconds()
			v.BeatS, v.SilentS = &s, (b.Silent + age).Seconds()
		}
		for _, s := range a.holders.Shares() {
			if s.Holder() == n && a.holders.HolderLives(s) {
				v.Holds, v.HeldS = append(v.Holds, s.ID()), max(v.HeldS, now.Sub(s.Since()).Seconds())
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

func standing(is books.Standing) string {
	switch {
	case is.Released:
		return "returned"
	case is.Gone:
		return "silent"
	case is.Releasing:
		return "being returned"
	case is.Drained:
		return "drained"
	case is.Recalled:
		return "recalled"
	case is.Moving:
		return "moving"
	case is.Deaf:
		return "deaf"
	case is.Doubted:
		return "in doubt"
	case !is.Heard:
		return "unheard"
	case is.Surplus:
		return "surplus"
	}
	return "in use"
}

func (a *Actor) viewWorkers() any {
	out := []workerView{}
	for m := range a.books.Machines() {
		v := workerView{Worker: m.Host(), Share: m.Rec().Share, Build: m.Rec().Build, Zone: m.Rec().Zone, Spot: m.Rec().Spot}
		if a.books.Holds(m) != nil {
			room := a.books.Room(m)
			v.Here, v.State, v.Free, v.Errors = true, standing(m.Is()), &room, a.faults.Errors(m.Host())
			for s := range m.Slots() {
				v.Tasks = append(v.Tasks, taskView{s.Name(), s.Try(), s.Is().Status, s.Is().Stop})
			}
		}
		out = append(out, v)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Worker < out[k].Worker })
	return out
}

func (a *Actor) viewJobs() any {
	now := time.Now()
	out := []JobView{}
	for j := range a.books.Jobs() {
		if j.Over() {
			continue
		}
		rec := j.Rec()
		v := JobView{Job: j.Ref(), Class: rec.Class, Team: rec.Team, Priority: rec.Urgency, Tasks: rec.Tasks, Free: rec.FreeCount()}
		v.Done, v.Running = j.Progress()
		v.After, v.Behind, v.Effective = j.Node().For(), j.Node().Behind(), jobs.PriorityName(j.Priority())
		if by := j.By()[0]; by != depend.Never {
			s := float64(by-now.UnixMilli()) / 1000
			v.DueS = &s
		}
		switch {
		case j.Dead():
			v.Why = "a job that it needs is cancelled, and so is this one"
		case j.Waits():
			v.WaitS, v.Why = j.Age(now).Seconds(), "for other jobs: "+some(v.After)
		case v.Free > 0 || a.faults.Blamed(j.Ref()):
			v.WaitS, v.Why = j.Age(now).Seconds(), a.decider.Why(j)
		default:
			if why := a.why(j); why != "" {
				v.WaitS, v.Why = j.Age(now).Seconds(), why
			}
		}
		out = append(out, v)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Job < out[k].Job })
	return out
}

// some names a few of many.
func some(names []string) string {
	if n := len(names) - tuning.NamesShown; n > 0 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:tuning.NamesShown], ", "), n)
	}
	return strings.Join(names, ", ")
}

// Gauges are a few numbers for the metrics.
func (a *Actor) Gauges() map[string]float64 {
	g, _ := loop.Ask(a.loop, func() map[string]float64 {
		g := map[string]float64{"jobs_unfinished": 0, "tasks_unclaimed": 0, "tasks_here": 0, "workers_here": 0,
			"shares_held": float64(len(a.holders.Mine())), "state_silent_seconds": time.Since(a.mirror.Contact()).Seconds()}
		g["jobs_waiting_for_others"] = float64(a.books.Depend().Waiting())
		g["upgrade_open"] = 0
		if a.gate.Open() {
			g["upgrade_open"] = 1
		}
		for j := range a.books.Jobs() {
			if !j.Over() {
				g["jobs_unfinished"]++
				g["tasks_unclaimed"] += float64(j.Rec().FreeCount())
			}
		}
		for _, v := range a.recovery.Views(time.Now()) {
			g["start_machines_waited_for"] += float64(v.Waiting)
			g["start_tasks_unaccounted"] += float64(v.Tasks)
		}
		_, machines := a.books.Sizes()
		g["workers"] = float64(machines)
		for _, m := range a.books.Held() {
			g["workers_here"]++
			g["tasks_here"] += float64(m.Load())
		}
		return g
	})
	return g
}
