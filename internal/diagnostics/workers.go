package diagnostics

import (
	"cmp"
	"slices"

	"cherrywall/internal/capacity"
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/workerapi"
)

// workerView is a worker as this controller sees it.
type workerView struct {
	Worker      string `json:"worker"`
	Shard       string `json:"share"`
	MachineType string `json:"build"`
	Zone        string `json:"zone"`
	Spot        bool   `json:"spot"`
	OwnedHere   bool   `json:"held_here"`
	// The fields below are set only for workers of this controller's own shards.
	State  machineState        `json:"state,omitempty"`
	Free   *capacity.Resources `json:"free,omitempty"`
	Tasks  []taskView          `json:"tasks,omitempty"`
	Errors int                 `json:"errors,omitempty"`
}

// taskView is a task that is assigned to a worker.
type taskView struct {
	Task     string              `json:"task"`
	Attempt  uint64              `json:"attempt"`
	Status   workerapi.TaskState `json:"status"`
	Stopping bool                `json:"stopping,omitempty"`
}

// workers lists all machines, sorted by host name.
func (r *Reporter) workers() []workerView {
	views := []workerView{}
	for machine := range r.deps.State.Machines() {
		record := machine.Record()
		view := workerView{Worker: machine.Host(), Shard: record.Shard, MachineType: record.MachineType, Zone: record.Zone, Spot: record.Spot}
		if r.deps.State.OwnedShard(machine) != nil {
			r.describeOwnedWorker(&view, machine)
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(x, y workerView) int { return cmp.Compare(x.Worker, y.Worker) })
	return views
}

func (r *Reporter) describeOwnedWorker(view *workerView, machine *clusterstate.Machine) {
	free := r.deps.State.Free(machine)
	view.OwnedHere = true
	view.State = machineStateOf(machine)
	view.Free = &free
	view.Errors = r.deps.Faults.FailureCount(machine.Host())
	for assignment := range machine.Assignments() {
		view.Tasks = append(view.Tasks, taskView{
			Task:     assignment.Name(),
			Attempt:  assignment.Attempt(),
			Status:   assignment.Status().WorkerStatus,
			Stopping: assignment.Status().Stopping,
		})
	}
}

// machineState is the state of a machine as operators see it. The administration API shows the values,
// so they must not change.
type machineState string

const (
	stateReleased    machineState = "returned"
	stateLost        machineState = "silent"
	stateReleasing   machineState = "being returned"
	stateDrained     machineState = "drained"
	statePreempted   machineState = "recalled"
	stateMoving      machineState = "moving"
	stateNoInbound   machineState = "deaf"
	stateSuspected   machineState = "in doubt"
	stateNotReported machineState = "unheard"
	stateSurplus     machineState = "surplus"
	stateInUse       machineState = "in use"
)

// machineStateOf returns the most severe state that applies to a machine.
func machineStateOf(machine *clusterstate.Machine) machineState {
	switch {
	case machine.IsReleased():
		return stateReleased
	case machine.IsLost():
		return stateLost
	case machine.IsReleasing():
		return stateReleasing
	case machine.IsCordoned():
		return stateDrained
	case machine.IsPreempted():
		return statePreempted
	case machine.IsMoving():
		return stateMoving
	case machine.HasNoInbound():
		return stateNoInbound
	case machine.IsSuspected():
		return stateSuspected
	case !machine.HasReported():
		return stateNotReported
	case machine.IsSurplus():
		return stateSurplus
	}
	return stateInUse
}
