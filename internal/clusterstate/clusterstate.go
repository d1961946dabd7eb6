// Package books keeps what a controller knows of jobs, of their claimed ranges, and of
// machines with the tasks on them, and the counts by shape that follow from it. It is
// the only place where a task changes its state: records, reports and decisions come
// here by way of the slices that hear of them.
package clusterstate

import (
	"iter"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/classstats"
	"cherrywall/internal/config"
	"cherrywall/internal/faultattribution"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/machinetype"
	"cherrywall/internal/membership"
	"cherrywall/internal/tuning"
)

// State have no locks: one actor owns them.
type State struct {
	cfg          *config.Config
	log          *slog.Logger
	shards       *membership.Table
	machineTypes *machinetype.Catalog
	classStats   *classstats.Stats
	attributor   *faultattribution.Attributor
	dependencies *jobdag.Index

	machines map[string]*Machine
	jobs     map[string]*Job
	free     *capacity.Table
	// freeBelow are the counts with work below a priority set aside: what is lent.
	freeBelow          [jobs.PriorityCount]*capacity.Table
	changedMachines    []*Machine         // whose counts are to be brought up to date
	ownedMachines      []*Machine         // see Held
	ownedMachinesStale bool               // a machine or a holder of a share has changed
	machineCounts      map[ShardGroup]int // see Census; nil: to be counted again
	dirty              bool
	// urgentStops are machines with tasks of jobs that have ended, see CalledOff.
	urgentStops []*Machine
	changeCount uint64 // of machines and of the tasks on them

	failureTimes     []time.Time // machines lost without being returned
	lastJobArrivedAt time.Time   // the last new job
}

// New makes empty books on the slices that they are kept with.
func New(cfg *config.Config, shards *membership.Table, machineTypes *machinetype.Catalog, classStats *classstats.Stats, attributor *faultattribution.Attributor,
	log *slog.Logger) *State {
	b := &State{cfg: cfg, log: log, shards: shards, machineTypes: machineTypes, classStats: classStats, attributor: attributor}
	b.dependencies = jobdag.New(jobdag.Config{
		UnfinishedRecord:   b.unfinishedRecord,
		ExpectedRunSeconds: classStats.ExpectedJobSeconds,
		DeadlineMultiple:   cfg.DeadlineMultiple,
		OnChange:           b.updateInherited,
	})
	b.Reset()
	return b
}

// Dependencies is the index of jobs that wait for others.
func (b *State) Dependencies() *jobdag.Index { return b.dependencies }

// Reset forgets all records, to be read anew.
func (b *State) Reset() {
	b.machines, b.jobs = map[string]*Machine{}, map[string]*Job{}
	b.free = capacity.NewTable()
	for p := range b.freeBelow {
		b.freeBelow[p] = capacity.NewTable()
	}
	b.changedMachines, b.ownedMachines, b.ownedMachinesStale, b.machineCounts = nil, nil, true, nil
	b.dependencies.Reset()
}

// MarkDirty notes that something has changed on which decisions depend.
func (b *State) MarkDirty() { b.dirty = true }

// IsDirty tells whether anything has, since Seen.
func (b *State) IsDirty() bool { return b.dirty }

// ClearDirty notes that decisions are made on what is known now.
func (b *State) ClearDirty() { b.dirty = false }

// Job is an unfinished job, or one that is over while its ranges still exist; nil if
// it is not known.
func (b *State) Job(ref string) *Job { return b.jobs[ref] }

// Jobs are all of them, in no order.
func (b *State) Jobs() iter.Seq[*Job] { return maps.Values(b.jobs) }

// LastJobArrivedAt is when the last new job became known.
func (b *State) LastJobArrivedAt() time.Time { return b.lastJobArrivedAt }

// Machine is a recorded machine; nil if there is none of the name.
func (b *State) Machine(host string) *Machine { return b.machines[host] }

// Machines are all that are recorded, in no order.
func (b *State) Machines() iter.Seq[*Machine] { return maps.Values(b.machines) }

// Sizes are the numbers of jobs and machines, Changes that of what has happened on machines.
func (b *State) Sizes() (jobs, machines int) { return len(b.jobs), len(b.machines) }

// Changes: see Sizes.
func (b *State) ChangeCount() uint64 { return b.changeCount }

// IsCurrentMachine tells whether a machine is still the one that is recorded under its name.
func (b *State) IsCurrentMachine(m *Machine) bool { return b.machines[m.host] == m }

// OwnedShard is the machine's share if this controller holds it, else nil.
func (b *State) OwnedShard(m *Machine) *membership.Shard {
	shard := b.shards.Shard(m.record.Shard)
	if shard == nil || !shard.IsLocal() {
		return nil
	}
	return shard
}

// IsUsable tells whether tasks may be sent to a machine.
func (b *State) IsUsable(m *Machine) bool {
	return m.flags.reported && !m.flags.lost && !m.flags.preempted && !m.flags.releasing && !m.flags.moving && !m.flags.cordoned && !m.flags.noInbound && !m.flags.heartbeatOverdue && !m.flags.suspected && b.OwnedShard(m) != nil
}

// Total is what the machine's type offers; known is false as long as nothing was heard
// of the type.
func (b *State) Total(m *Machine) (total capacity.Resources, known bool) {
	return b.machineTypes.Capacity(m.record.MachineType)
}

// UsedCPUFraction is the part of a machine's processors that is taken.
func (b *State) UsedCPUFraction(m *Machine) float64 {
	total, known := b.Total(m)
	if !known || total.CPU <= 0 {
		return 0
	}
	return 1 - b.Free(m).CPU/total.CPU
}

// OwnedMachines are the machines of the shares held here, in the order of their names. The list
// is for reading, and until the next change.
func (b *State) OwnedMachines() []*Machine {
	if b.ownedMachinesStale {
		b.ownedMachinesStale = false
		b.ownedMachines = b.ownedMachines[:0]
		for _, m := range b.machines {
			if b.OwnedShard(m) != nil {
				b.ownedMachines = append(b.ownedMachines, m)
			}
		}
		slices.SortFunc(b.ownedMachines, func(x, y *Machine) int { return strings.Compare(x.host, y.host) })
	}
	return b.ownedMachines
}

// ShardGroup is what the census counts by.
type ShardGroup struct {
	Shard string
	Group capacity.Group
}

// OwnedMachinesIn are those of one share.
func (b *State) OwnedMachinesIn(share string) iter.Seq[*Machine] {
	return func(yield func(*Machine) bool) {
		for _, m := range b.OwnedMachines() {
			if m.record.Shard == share && !yield(m) {
				return
			}
		}
	}
}

// TaskRangesIn are the ranges that a share has claimed, in no order; their jobs may be over.
func (b *State) TaskRangesIn(share string) iter.Seq[*TaskRange] {
	return func(yield func(*TaskRange) bool) {
		for _, j := range b.jobs {
			for _, r := range j.ranges {
				if r.record.Shard == share && !yield(r) {
					return
				}
			}
		}
	}
}

// MachineCounts counts the recorded machines by share and group, surplus or not: what needs
// only their number must not walk all of them for each job.
func (b *State) MachineCounts() map[ShardGroup]int {
	if b.machineCounts == nil {
		b.machineCounts = map[ShardGroup]int{}
		for _, m := range b.machines {
			if !m.flags.released {
				b.machineCounts[ShardGroup{m.record.Shard, capacity.Group{Zone: m.record.Zone, MachineType: m.record.MachineType, Spot: m.record.Spot}}]++
			}
		}
	}
	return b.machineCounts
}

// MachineCountIn is how many recorded machines a share has.
func (b *State) MachineCountIn(share string) int {
	n := 0
	for lot, k := range b.MachineCounts() {
		if lot.Shard == share {
			n += k
		}
	}
	return n
}

// FreeCapacity are the tasks that still fit, up to date with the machines that changed.
func (b *State) FreeCapacity() *capacity.Table {
	for _, m := range b.changedMachines {
		m.recountPending = false
		if o := b.machines[m.host]; o != nil && o != m {
			continue // known anew under this name
		}
		if _, known := b.Total(m); known && b.IsUsable(m) && b.machines[m.host] != nil {
			t := b.usageOf(m)
			b.free.Set(m.host, m.Group(), t.free)
			for p := range b.freeBelow {
				b.freeBelow[p].Set(m.host, m.Group(), t.freeBelow[p])
			}
		} else {
			b.free.Remove(m.host)
			for p := range b.freeBelow {
				b.freeBelow[p].Remove(m.host)
			}
		}
	}
	b.changedMachines = b.changedMachines[:0]
	return b.free
}

// FreeCapacityBelow are the counts with work below a priority set aside.
func (b *State) FreeCapacityBelow(p jobs.Priority) *capacity.Table {
	b.FreeCapacity()
	return b.freeBelow[p]
}

// RecountCapacity forgets the counts of shapes that nobody wants any more and makes the others
// anew; spot is whether cheap machines are in use, see Leftover.
func (b *State) RecountCapacity(now time.Time, spot bool) {
	wanted := map[capacity.Resources]bool{}
	for _, j := range b.jobs {
		if !j.ended {
			wanted[j.need] = true
			j.bestEffort = j.mayWaitForSpot(now, spot)
		}
	}
	b.FreeCapacity().Recount(wanted)
	for p := range b.freeBelow {
		b.freeBelow[p].Recount(nil) // filled again as it is asked for
	}
	b.dirty = true
}

// RecentMachineFailures is how many machines were lost without being returned, lately.
func (b *State) RecentMachineFailures(now time.Time) int {
	n := 0
	for _, t := range b.failureTimes {
		if now.Sub(t) < tuning.MachineFailureWindow {
			n++
		}
	}
	return n
}
