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
	if now.Sub(s.fittingTasksAt) < tuning.PeerHeartbeatInterval/2 {
		return s.fittingTasks
	}
	shapes := map[capacity.Resources]*jobs.JobRecord{}
	for _, buffer := range s.GrowthBuffers(now) {
		shapes[buffer.Need] = buffer.Record
	}
	for job := range s.State.Jobs() {
		if len(shapes) >= tuning.MaxPeerHeartbeatShapes {
			break
		}
		isWaitingGang := job.IsRunnable() && job.Record().Kind == jobs.Gang && len(job.Record().Unclaimed) > 0
		if isWaitingGang {
			shapes[job.Need()] = job.Record()
		}
	}
	s.fittingTasks, s.fittingTasksAt = nil, now
	for need, record := range shapes {
		s.fittingTasks = append(s.fittingTasks, s.shapeCapacities(need, record)...)
	}
	return s.fittingTasks
}

// shapeCapacities counts the tasks of one shape that fit on the owned machines, by zone.
func (s *Scheduler) shapeCapacities(need capacity.Resources, record *jobs.JobRecord) []peer.ShapeCapacity {
	byZone := map[string]*peer.ShapeCapacity{}
	for _, machine := range s.State.OwnedMachines() {
		if !s.State.IsUsable(machine) {
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
