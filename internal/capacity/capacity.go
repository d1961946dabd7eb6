// Package capacity counts how many tasks of a shape still fit into the free resources of
// machines, and converts buffers of one shape into tasks of another. It follows sections 3.1 and 3.2
// of the Kerveros paper, which the comments of this package call "the paper".
package capacity

// Group identifies a set of machines with the same properties. The tasks that fit on each group are
// counted separately, since jobs differ in which machines they allow.
type Group struct {
	Zone, MachineType string
	Spot              bool
	// Surplus is set for machines that are to be drained and scaled in.
	Surplus bool
}

type machine struct {
	group Group
	free  Resources
}

// Table counts, by shape and group, how many tasks fit. The counts of a shape are computed when the
// shape is first asked for, and updated with every change of a machine, as in section 4.2 of the
// paper, "Caching". A Table is not safe for concurrent use.
type Table struct {
	machines map[string]machine
	counts   map[Resources]map[Group]int
	version  uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{machines: map[string]machine{}, counts: map[Resources]map[Group]int{}}
}

// Set records a machine's group and free resources.
func (t *Table) Set(host string, group Group, free Resources) {
	old, known := t.machines[host]
	if known && old.group == group && old.free == free {
		return
	}
	for shape, byGroup := range t.counts {
		if known {
			byGroup[old.group] -= FitCount(old.free, shape)
		}
		byGroup[group] += FitCount(free, shape)
	}
	t.machines[host] = machine{group: group, free: free}
	t.version++
}

// Version returns a number that increases with every change of a machine. Results that were computed
// from the counts are valid as long as the version is the same.
func (t *Table) Version() uint64 { return t.version }

// Remove removes a machine.
func (t *Table) Remove(host string) {
	old, known := t.machines[host]
	if !known {
		return
	}
	for shape, byGroup := range t.counts {
		byGroup[old.group] -= FitCount(old.free, shape)
	}
	delete(t.machines, host)
	t.version++
}

func (t *Table) countsFor(shape Resources) map[Group]int {
	byGroup, known := t.counts[shape]
	if known {
		return byGroup
	}
	byGroup = map[Group]int{}
	for _, m := range t.machines {
		byGroup[m.group] += FitCount(m.free, shape)
	}
	t.counts[shape] = byGroup
	return byGroup
}

// Count returns how many tasks of a shape fit on the machines of the allowed groups, without
// deducting buffers: the paper's A[t].
func (t *Table) Count(shape Resources, allow func(Group) bool) int {
	total := 0
	for group, count := range t.countsFor(shape) {
		if allow(group) {
			total += count
		}
	}
	return total
}

// AllocableCount returns how many tasks of a shape fit on the machines of the allowed groups if the
// buffers are left free. It returns 0 if the buffers need more than the free capacity.
func (t *Table) AllocableCount(shape Resources, allow func(Group) bool, buffers []Buffer) int {
	fittingTasks := t.Count(shape, allow)
	remaining := fittingTasks
	for _, buffer := range Aggregate(buffers) {
		remaining -= ConvertBuffer(fittingTasks, t.Count(buffer.Shape, allow), buffer, shape)
	}
	return max(remaining, 0)
}

// Recount computes the counts of the wanted shapes anew and drops those of all other shapes. It
// adds no shapes that were not counted before.
func (t *Table) Recount(wantedShapes map[Resources]bool) {
	for shape := range t.counts {
		delete(t.counts, shape)
		if wantedShapes[shape] {
			t.countsFor(shape)
		}
	}
}
