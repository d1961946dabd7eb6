package decide

import (
	"time"

	"cherrywall/internal/books"
	"cherrywall/internal/capacity"
	"cherrywall/internal/classes"
	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// Protected amounts, sized from what was seen.

// Growths sizes the growth buffers from what was seen and what runs.
func (d *Decider) Growths(now time.Time) []classes.Growth {
	var running []classes.Running
	for j := range d.Books.Jobs() {
		if rec := j.Rec(); !j.Over() && len(rec.Free) == 0 {
			running = append(running, classes.Running{Class: rec.Class, Tasks: rec.Tasks, Runs: d.Expect(rec)})
		}
	}
	set, _ := d.Mirror.Settings()
	return d.Classes.Growths(now, d.Types.LongestBoot(), set.GrowthFactor, running)
}

// Expect is the corrected run time of a task, in seconds.
func (d *Decider) Expect(rec *jobs.Record) float64 { return d.Classes.Expect(rec) }

// Lendable is how many tasks of a growth buffer a machine could take, lower
// work set aside.
func (d *Decider) Lendable(m *books.Machine, g classes.Growth) int {
	if !g.Rec.Allows(m.Group()) {
		return 0
	}
	return capacity.Fit(d.Books.RoomBelow(m, g.Rec.Priority()), g.Need)
}

// buffers are the protected amounts that a job has to leave alone. Room is
// lent to work that a claimant may stop, so a job sees only the buffers of
// those that could not take the room back from it.
func (d *Decider) buffers(j *books.Job) []capacity.Buffer {
	var out []capacity.Buffer
	highest := j.Priority() == jobs.Highest()
	for _, t := range d.cfg.Cluster.Teams {
		if t.Name == j.Rec().Team || t.CPUs <= 0 && t.GPUs <= 0 {
			continue
		}
		// What the team has not claimed of its guarantee, as tasks of the shape
		// it uses most, in this share's part.
		used, most, seen := d.teamUse(t.Name), capacity.Vec{CPU: 1}, 0
		for o := range d.Books.Jobs() {
			if rec := o.Rec(); !o.Over() && !o.Waits() && rec.Team == t.Name && rec.Tasks > seen {
				most, seen = o.Need(), rec.Tasks
			}
		}
		x := 0.0
		if most.CPU > 0 {
			x = (t.CPUs - used.CPU) / most.CPU
		}
		if most.GPU > 0 {
			x = max(x, (t.GPUs-used.GPU)/most.GPU)
		}
		if x > 0 && highest {
			out = append(out, capacity.Buffer{Shape: most, X: x / float64(d.Holders.Size())})
		}
	}
	out = append(out, d.restartRoom(j)...)
	if j.Background() {
		out = append(out, d.owners(j)...)
	}
	if x := d.healing(time.Now()); x > 0 && highest {
		// Lower work can be stopped when a machine fails; the highest can not.
		var whole capacity.Vec
		for _, m := range d.Books.Held() {
			if t, ok := d.Books.Total(m); ok && t.CPU > whole.CPU {
				whole = t
			}
		}
		if whole.CPU > 0 {
			out = append(out, capacity.Buffer{Shape: whole, X: x})
		}
	}
	return out
}

// restartRoom is kept for the replicas of services that a failing machine would
// take with it: as many as the fullest machine holds. Work that a service may
// stop need not leave it free.
func (d *Decider) restartRoom(j *books.Job) []capacity.Buffer {
	if d.round.services == nil {
		d.round.services = d.countReplicas()
	}
	var out []capacity.Buffer
	for o, n := range d.round.services {
		if o != j && !o.Over() && j.Priority() >= o.Priority() {
			out = append(out, capacity.Buffer{Shape: o.Need(), X: float64(n)})
		}
	}
	return out
}

func (d *Decider) countReplicas() map[*books.Job]int {
	most := map[*books.Job]int{}
	for _, m := range d.Books.Held() {
		if d.Books.Services(m) == 0 {
			continue
		}
		per := map[*books.Job]int{}
		for s := range m.Slots() {
			if o := s.Job(); o != nil && o.Rec().Kind == jobs.Service {
				per[o]++
			}
		}
		for o, n := range per {
			most[o] = max(most[o], n)
		}
	}
	return most
}

// healing is how many whole machines are likely to fail while another boots,
// from the failures seen lately (the paper's healing buffer).
func (d *Decider) healing(now time.Time) float64 {
	return float64(d.Books.Failures(now)) * d.Types.LongestBoot() / tuning.FailureWindow.Seconds()
}

// load is what a class is expected to use, in CPUs, and what it uses.
type load struct {
	classes.Load
	use float64
}

// owners are the buffers that background work has to leave alone: what arrays
// of its priority with an aim are likely to use beyond what they use now. Work
// of higher priority takes its room back by itself; those of the same can't stop it.
func (d *Decider) owners(j *books.Job) []capacity.Buffer {
	if d.round.loads == nil {
		d.round.loads = d.expectedLoads(time.Now())
	}
	var out []capacity.Buffer
	for _, l := range d.round.loads {
		if x := l.Peak - l.use; x > 0 && l.Rec.Priority() <= j.Priority() && l.Rec.CPU > 0 {
			out = append(out, capacity.Buffer{Shape: l.Rec.Need(), X: x / l.Rec.CPU / float64(d.Holders.Size())})
		}
	}
	return out
}

func (d *Decider) expectedLoads(now time.Time) map[string]load {
	out := map[string]load{}
	for name, l := range d.Classes.Loads(now, d.cfg.Cluster.Objectives, d.Books.IsBackground) {
		out[name] = load{Load: l}
	}
	for j := range d.Books.Jobs() {
		rec := j.Rec()
		l, known := out[rec.Class]
		if !known || j.Over() {
			continue
		}
		l.use += float64(j.Open()) * rec.CPU
		out[rec.Class] = l
	}
	return out
}
