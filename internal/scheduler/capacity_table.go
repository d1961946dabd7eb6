package scheduler

import (
	"time"

	"cherrywall/internal/capacity"
	"cherrywall/internal/classstats"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/peer"
	"cherrywall/internal/tuning"
)

// FittingTasks returns how many tasks fit in each zone, for each task shape of the waiting gangs
// and of the urgent work that is expected. The counts are sent to the peers and are used by the
// autoscaler. The result is cached for half a peer heartbeat interval; the caller must not change
// it.
func (s *Scheduler) FittingTasks(now time.Time) []peer.ShapeCapacity {
	if now.Sub(s.shapeCapacitiesAt) < tuning.PeerHeartbeatInterval/2 {
		return s.shapeCapacities
	}
	s.shapeCapacities, s.shapeCapacitiesAt = nil, now
	for need, shape := range s.shapesToCount(now) {
		s.shapeCapacities = append(s.shapeCapacities, s.countShape(need, shape)...)
	}
	return s.shapeCapacities
}

// countedShape is a task shape whose fitting tasks are counted.
type countedShape struct {
	record       *jobs.JobRecord     // of a job with tasks of this shape
	waitingGangs []*clusterstate.Job // the waiting gangs with tasks of this shape
}

// shapesToCount returns the shapes of the urgent work that is expected and of the waiting gangs, at most
// tuning.MaxPeerHeartbeatShapes unless more are expected.
func (s *Scheduler) shapesToCount(now time.Time) map[capacity.Resources]countedShape {
	shapes := map[capacity.Resources]countedShape{}
	for _, buffer := range s.GrowthBuffers(now) {
		shapes[buffer.Need] = countedShape{record: buffer.Record}
	}
	for job := range s.State.Jobs() {
		isWaitingGang := job.IsRunnable() && job.IsGang() && len(job.Record().Unclaimed) > 0
		shape, known := shapes[job.Need()]
		if isWaitingGang && (known || len(shapes) < tuning.MaxPeerHeartbeatShapes) {
			shape.record = job.Record()
			shape.waitingGangs = append(shape.waitingGangs, job)
			shapes[job.Need()] = shape
		}
	}
	return shapes
}

// countShape counts the tasks of one shape that fit on the owned machines, by zone. A machine that all
// waiting gangs of the shape avoid is not counted: nobody would use it, and no machine would be requested
// instead.
func (s *Scheduler) countShape(need capacity.Resources, shape countedShape) []peer.ShapeCapacity {
	byZone := map[string]*peer.ShapeCapacity{}
	record := shape.record
	for _, machine := range s.State.OwnedMachines() {
		if !s.State.IsUsable(machine) || s.areAllAvoiding(shape.waitingGangs, machine) {
			continue
		}
		zone := machine.Record().Zone
		shapeCapacity := byZone[zone]
		if shapeCapacity == nil {
			shapeCapacity = &peer.ShapeCapacity{CPU: need.CPU, GPU: need.GPU, Mem: need.MemGB, Zone: zone}
			byZone[zone] = shapeCapacity
		}
		if record.Allows(machine.Group()) {
			freeCount := capacity.FitCount(s.State.Free(machine), need)
			shapeCapacity.Free += freeCount
			shapeCapacity.Preemptible += s.FitCountWithPreemption(machine, classstats.GrowthBuffer{Record: record, Need: need}) - freeCount
		}
	}
	var capacities []peer.ShapeCapacity
	for _, shapeCapacity := range byZone {
		capacities = append(capacities, *shapeCapacity)
	}
	return capacities
}

// CapacityRow is a row of the capacity table that the administration API shows.
type CapacityRow struct {
	Shape     capacity.Resources `json:"shape"`
	Zone      string             `json:"zone"`
	Fitting   int                `json:"fit"`
	Allocable int                `json:"allocable"` // number of fitting tasks if the buffers are left free
	Buffers   []capacity.Buffer  `json:"buffers,omitempty"`
}

// CapacityTable returns, for each task shape of the runnable jobs and each zone, how many tasks of that
// shape fit.
func (s *Scheduler) CapacityTable() []CapacityRow {
	jobsByShape := map[capacity.Resources]*clusterstate.Job{}
	for job := range s.State.Jobs() {
		if job.IsRunnable() {
			jobsByShape[job.Need()] = job
		}
	}
	rows := []CapacityRow{}
	freeCapacity := s.State.FreeCapacity()
	for need, job := range jobsByShape {
		buffers := s.buffersFor(job)
		for _, zone := range s.zones() {
			isInZone := func(g capacity.Group) bool { return g.Zone == zone }
			rows = append(rows, CapacityRow{
				Shape:     need,
				Zone:      zone,
				Fitting:   freeCapacity.Count(need, isInZone),
				Allocable: freeCapacity.AllocableCount(need, isInZone, buffers),
				Buffers:   buffers,
			})
		}
	}
	return rows
}
