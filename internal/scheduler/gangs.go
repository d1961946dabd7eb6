package scheduler

import (
	"math"
	"time"

	"cherrywall/internal/binpacking"
	"cherrywall/internal/capacity"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/membership"
)

// Gangs: all tasks or none, and the room that is made for them.

// placeGang plans all tasks of a claimed gang, in room that is free or that
// lower work has to leave.
func (d *Scheduler) placeGang(job *clusterstate.Job, taskRange *clusterstate.TaskRange, shard *membership.Shard) bool {
	if d.Claims.TasksWithinQuota(job, shard) < taskRange.Len() {
		d.Claims.RequestQuota(job, shard, taskRange.Len(), true)
		d.waitReasons[job.Ref()] = waitReason{text: waitForQuota}
		return false
	}
	zones := d.zonesFitting(job, taskRange.Len())
	if !job.Record().OneZone && job.Record().Zone == nil {
		zones = append([]string{""}, zones...)
	}
	if zone := taskRange.Record().Zone; zone != "" {
		zones = []string{zone}
	}
	type option struct {
		steps []taskPlacement
		cost  float64
	}
	var best *option
	for _, z := range zones {
		steps, cost, ok := d.planWithPreemption(job, shard.ID(), z, taskRange.Len())
		if ok && (best == nil || cost < best.cost) {
			best = &option{steps, cost}
		}
	}
	if best == nil {
		return false
	}
	try := d.nextAttempt(shard)
	d.State.BeginGangAttempt(job, try)
	for i, st := range best.steps {
		for _, v := range st.victims {
			d.State.PreemptFor(taskRange, v)
		}
		d.State.Place(taskRange, i, st.machine, try)
	}
	return true
}

// zonesFitting are the zones in which n tasks fit by the counts, lower work set
// aside: only there is it worth looking for places.
func (d *Scheduler) zonesFitting(job *clusterstate.Job, n int) []string {
	var out []string
	for _, z := range d.zones() {
		if d.tasksFittingInZone(job, z) >= n {
			out = append(out, z)
		}
	}
	return out
}

// tasksFittingInZone is how many of the job's tasks fit in a zone, lower work set aside.
func (d *Scheduler) tasksFittingInZone(job *clusterstate.Job, zone string) int {
	allow := func(g capacity.Group) bool { return g.Zone == zone && job.Record().Allows(g) }
	return d.State.FreeCapacity().Count(job.Need(), allow) + d.preemptibleTasks(job, allow)
}

// taskPlacement is room for one task on a machine, and who has to leave for it.
type taskPlacement struct {
	machine *clusterstate.Machine
	victims []*clusterstate.Assignment
}

// binpackingMachine is a machine as a plan sees it.
func (d *Scheduler) binpackingMachine(job *clusterstate.Job, machine *clusterstate.Machine) binpacking.Machine {
	p := binpacking.Machine{Zone: machine.Record().Zone, Free: d.State.Free(machine)}
	if !machine.HasImage(job.Record().Image) {
		if f, _ := d.MachineTypes.Get(machine.Record().MachineType); f.FetchGBPerS > 0 {
			p.ImageCost = job.Record().ImageGB / f.FetchGBPerS * job.Need().CPU
		}
	}
	full := p.Free
	for assignment := range machine.Assignments() {
		if d.canPreempt(job, assignment) {
			p.Victims = append(p.Victims, binpacking.Victim{Name: assignment.Name(), Need: assignment.Need(), LostCPUSeconds: d.preemptionLoss(assignment)})
			full = full.Add(assignment.Need())
		}
	}
	if !full.Covers(job.Need()) {
		return binpacking.Machine{}
	}
	return p
}

// planWithPreemption finds places for n tasks at the least loss of work.
func (d *Scheduler) planWithPreemption(job *clusterstate.Job, share, zone string, n int) ([]taskPlacement, float64, bool) {
	var ms []*clusterstate.Machine
	var pools []binpacking.Machine
	for _, machine := range d.candidates(job, share, zone) {
		if p := d.binpackingMachine(job, machine); p.Zone != "" {
			ms, pools = append(ms, machine), append(pools, p)
		}
	}
	most := n
	if job.Record().Spread {
		most = (job.Record().Tasks + 1) / 2
	}
	plan, cost, ok := binpacking.Plan(pools, job.Need(), n, most)
	out := make([]taskPlacement, len(plan))
	for i, st := range plan {
		out[i].machine = ms[st.Machine]
		for _, v := range st.Victims {
			out[i].victims = append(out[i].victims, out[i].machine.Assignment(v.Name))
		}
	}
	return out, cost, ok
}

// preemptionLoss is the work (CPU seconds) that stopping a task of ours throws away.
func (d *Scheduler) preemptionLoss(assignment *clusterstate.Assignment) float64 {
	rec, ran := assignment.Job().Record(), 0.0
	if since := assignment.Status().RunningSince; !since.IsZero() {
		ran = time.Since(since).Seconds()
	}
	if rec.Kind == jobs.Gang {
		// The whole gang stops; one that can save loses the time of saving.
		if rec.CheckpointIntervalSeconds > 0 {
			ran = min(ran, rec.CheckpointSaveSeconds+d.cfg.Cluster.Workers.GangPeerS)
		}
		return ran * assignment.Need().CPU * float64(rec.Tasks)
	}
	if rec.CheckpointIntervalSeconds > 0 {
		ran = math.Mod(ran, rec.CheckpointIntervalSeconds)
	}
	return ran * assignment.Need().CPU
}

func (d *Scheduler) admitGang(job *clusterstate.Job, shard *membership.Shard) {
	n := job.Record().Tasks
	if job.Record().UnclaimedCount() != n {
		return
	}
	have := d.gangFitFor(job)
	if have.tasks < n {
		d.waitReasons[job.Ref()] = waitReason{waitForCapacity, have.tasks}
		return
	}
	if job.Record().OneZone && have.tasksInBestZone < n {
		d.waitReasons[job.Ref()] = waitReason{waitForZone, have.tasks}
		return
	}
	d.Claims.Claim(job, shard, n, "", func(taskRange *clusterstate.TaskRange) bool { return d.placeGang(job, taskRange, shard) })
}

// fittingWithPreemption is how many tasks fit if lower work is set aside: the room it was lent
// is not the job's to take as far as it is protected from the job.
func (d *Scheduler) fittingWithPreemption(job *clusterstate.Job, allow func(capacity.Group) bool, bufs []capacity.Buffer) int {
	free := d.State.FreeCapacity().Allocable(job.Need(), allow, bufs)
	lent := d.preemptibleTasks(job, allow)
	if lent == 0 {
		return free
	}
	all := d.State.FreeCapacity().Count(job.Need(), allow) + lent
	for _, b := range capacity.Aggregate(bufs) {
		all -= b.ConvertByRatio(job.Need())
	}
	return max(free, all)
}

// preemptibleTasks is how many more tasks would fit into room lent to lower work.
func (d *Scheduler) preemptibleTasks(job *clusterstate.Job, allow func(capacity.Group) bool) int {
	if d.Faults.IsJobFaulty(job.Ref()) {
		return 0
	}
	if !d.hasGuarantees() {
		return d.State.FreeCapacityBelow(d.preemptionPriority(job)).Count(job.Need(), allow) - d.State.FreeCapacity().Count(job.Need(), allow)
	}
	// With guarantees it depends on what each team uses at this moment.
	n := 0
	for _, machine := range d.State.OwnedMachines() {
		if !d.State.IsUsable(machine) || !allow(machine.Group()) {
			continue
		}
		full := d.State.Free(machine)
		for assignment := range machine.Assignments() {
			if d.canPreempt(job, assignment) {
				full = full.Add(assignment.Need())
			}
		}
		n += capacity.FitCount(full, job.Need()) - capacity.FitCount(d.State.Free(machine), job.Need())
	}
	return n
}
