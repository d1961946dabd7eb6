package peer

import (
	"time"

	"cherrywall/internal/peer/wire"

	flatbuffers "github.com/google/flatbuffers/go"
)

// Task is a task as the holder of its share knows it.
type Task struct {
	Name    string
	Attempt uint64
	Status  string
	Sent    bool // a start was ordered
	Seen    bool // the worker has reported it
	Stop    bool // to be stopped, with so many seconds to save
	Halted  bool // that was ordered
	Leeway  float64
	Alien   bool          // no task of the share, only to be stopped
	Ran     time.Duration // 0: not known to run
}

// Standing is a machine as the holder of its share knows it.
type Standing struct {
	Host            string
	Session, Report uint64 // of its last report
	Over            uint64 // sessions up to this one are over
	Gone            bool
	Recalled        bool
	Drained         bool
	Empty           bool // its last report listed nothing
	Unheard         bool // enrolled, and nothing was ordered to it
	Tasks           []Task
}

// Piece is a part of what a holder knows of a share, under the record of a stamp, that it
// hands over.
type Piece struct {
	Share     string
	Stamp     uint64
	Index, Of int
	Machines  []Standing
}

// The bits of Task.flags and Standing.flags, see beat.fbs.
const (
	taskSent = 1 << iota
	taskSeen
	taskStop
	taskHalted
	taskAlien
)

const (
	machineGone = 1 << iota
	machineRecalled
	machineDrained
	machineEmpty
	machineUnheard
)

func bits(flags ...bool) (b byte) {
	for i, on := range flags {
		if on {
			b |= 1 << i
		}
	}
	return b
}

func encodePiece(fb *flatbuffers.Builder, p *Piece) flatbuffers.UOffsetT {
	machines := make([]flatbuffers.UOffsetT, len(p.Machines))
	for i, m := range p.Machines {
		tasks := make([]flatbuffers.UOffsetT, len(m.Tasks))
		for k, t := range m.Tasks {
			name, status := fb.CreateString(t.Name), fb.CreateSharedString(t.Status)
			wire.TaskStart(fb)
			wire.TaskAddName(fb, name)
			wire.TaskAddAttempt(fb, t.Attempt)
			wire.TaskAddStatus(fb, status)
			wire.TaskAddFlags(fb, bits(t.Sent, t.Seen, t.Stop, t.Halted, t.Alien))
			wire.TaskAddLeeway(fb, float32(t.Leeway))
			wire.TaskAddRan(fb, float32(t.Ran.Seconds()))
			tasks[k] = wire.TaskEnd(fb)
		}
		tv := vector(fb, wire.StandingStartTasksVector, tasks)
		host := fb.CreateString(m.Host)
		wire.StandingStart(fb)
		wire.StandingAddHost(fb, host)
		wire.StandingAddSession(fb, m.Session)
		wire.StandingAddReport(fb, m.Report)
		wire.StandingAddOver(fb, m.Over)
		wire.StandingAddFlags(fb, bits(m.Gone, m.Recalled, m.Drained, m.Empty, m.Unheard))
		wire.StandingAddTasks(fb, tv)
		machines[i] = wire.StandingEnd(fb)
	}
	mv := vector(fb, wire.PieceStartMachinesVector, machines)
	share := fb.CreateString(p.Share)
	wire.PieceStart(fb)
	wire.PieceAddShare(fb, share)
	wire.PieceAddStamp(fb, p.Stamp)
	wire.PieceAddIndex(fb, uint16(p.Index))
	wire.PieceAddOf(fb, uint16(p.Of))
	wire.PieceAddMachines(fb, mv)
	return wire.PieceEnd(fb)
}

// decodePiece reads a piece; size is that of the frame, which bounds what it can list.
func decodePiece(w *wire.Piece, size int) (*Piece, error) {
	p := &Piece{Share: string(w.Share()), Stamp: w.Stamp(), Index: int(w.Index()), Of: int(w.Of())}
	if w.MachinesLength() > size || p.Index >= p.Of {
		return nil, errBroken
	}
	for i := range w.MachinesLength() {
		var m wire.Standing
		w.Machines(&m, i)
		if m.TasksLength() > size {
			return nil, errBroken
		}
		f := m.Flags()
		x := Standing{Host: string(m.Host()), Session: m.Session(), Report: m.Report(), Over: m.Over(), Gone: f&machineGone != 0,
			Recalled: f&machineRecalled != 0, Drained: f&machineDrained != 0, Empty: f&machineEmpty != 0, Unheard: f&machineUnheard != 0}
		for k := range m.TasksLength() {
			var t wire.Task
			m.Tasks(&t, k)
			f := t.Flags()
			x.Tasks = append(x.Tasks, Task{Name: string(t.Name()), Attempt: t.Attempt(), Status: string(t.Status()), Sent: f&taskSent != 0,
				Seen: f&taskSeen != 0, Stop: f&taskStop != 0, Halted: f&taskHalted != 0, Alien: f&taskAlien != 0, Leeway: float64(t.Leeway()),
				Ran: time.Duration(float64(t.Ran()) * float64(time.Second))})
		}
		p.Machines = append(p.Machines, x)
	}
	return p, nil
}
