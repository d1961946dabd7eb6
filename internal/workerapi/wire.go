// Package worker holds what workers and controllers say to each other.
package workerapi

import (
	"fmt"
	"math"

	"github.com/valyala/fastjson"
)

// States of a task on a machine, as reported.
const (
	StatusPulling       = "pulling"
	StatusAwaitingGang  = "gathering"
	StatusRunning       = "running"
	StatusCheckpointing = "saving"
	StatusEnded         = "ended"
)

// Why a task ended.
const (
	CauseDone    = "done"
	CauseStopped = "stopped"
	CauseError   = "error"
	CauseFull    = "full"
	CauseBusy    = "busy"
	CauseNoSuch  = "no_such"
)

// TaskStatus is one task of a report.
type TaskStatus struct {
	Task           string `json:"shift"`
	Attempt        uint64 `json:"try"`
	Status         string `json:"status"`
	Cause          string `json:"cause"`
	CheckpointKept bool   `json:"kept"`
}

// Heartbeat is what a worker says of itself.
type Heartbeat struct {
	Host          string       `json:"host"`
	Addr          string       `json:"addr"`
	MachineType   string       `json:"build"`
	Zone          string       `json:"valley"`
	Spot          bool         `json:"loaners"`
	AgentEpoch    uint64       `json:"watch"`
	Sequence      uint64       `json:"tick"`
	FencingToken  uint64       `json:"baton"` // the highest fencing token that the worker has seen
	PreemptionInS *float64     `json:"recallS"`
	Tasks         []TaskStatus `json:"shifts"`
}

// parserPool are shared: most of what a controller does in a day is reading reports,
// and the parser's memory is worth keeping.
var parserPool fastjson.ParserPool

// ParseHeartbeat reads and checks a report; an error names the field.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	p := parserPool.Get()
	defer parserPool.Put(p) // nothing of its memory is kept: strings are copied
	v, err := p.ParseBytes(body)
	if err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	o, err := v.Object()
	if err != nil {
		return nil, fmt.Errorf("body: not an object")
	}
	f := objectReader{object: o}
	heartbeat := &Heartbeat{Host: f.text("host"), Addr: f.text("addr"), MachineType: f.text("build"), Zone: f.text("valley"),
		Spot: f.boolean("loaners"), AgentEpoch: f.unsigned("watch"), Sequence: f.unsigned("tick"), FencingToken: f.unsigned("baton"), PreemptionInS: f.seconds("recallS")}
	entries := f.list("shifts")
	if len(entries) > 0 {
		heartbeat.Tasks = make([]TaskStatus, len(entries))
	}
	for i, e := range entries {
		eo, err := e.Object()
		if err != nil {
			return nil, fmt.Errorf("shifts[%d]: not an object", i)
		}
		ef := objectReader{object: eo}
		heartbeat.Tasks[i] = TaskStatus{Task: ef.text("shift"), Attempt: ef.unsigned("try"), Status: ef.knownText("status"), Cause: ef.knownText("cause"),
			CheckpointKept: ef.boolean("kept")}
		switch {
		case ef.err != nil:
			return nil, fmt.Errorf("shifts[%d].%w", i, ef.err)
		case heartbeat.Tasks[i].Task == "" || heartbeat.Tasks[i].Status == "":
			return nil, fmt.Errorf("shifts[%d]: incomplete", i)
		}
	}
	switch {
	case f.err != nil:
		return nil, f.err
	case heartbeat.Host == "" || len(heartbeat.Host) > 100:
		return nil, fmt.Errorf("host: missing or too long")
	case heartbeat.MachineType == "":
		return nil, fmt.Errorf("build: missing")
	case heartbeat.Zone == "":
		return nil, fmt.Errorf("valley: missing")
	case heartbeat.AgentEpoch == 0:
		return nil, fmt.Errorf("watch: missing")
	}
	for _, c := range heartbeat.Host {
		if c <= ' ' || c == '/' || c > '~' {
			return nil, fmt.Errorf("host: bad character")
		}
	}
	return heartbeat, nil
}

// objectReader reads an object's fields; a field that is missing or null is empty. err is
// the first wrong type, and names the field.
type objectReader struct {
	object *fastjson.Object
	err    error
}

func (f *objectReader) get(name string) *fastjson.Value {
	v := f.object.Get(name)
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	return v
}

func (f *objectReader) wrongType(name string, v *fastjson.Value) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: wrong type %s", name, v.Type())
	}
}

// readField is a field of the type that as gives.
func readField[T any](f *objectReader, name string, as func(*fastjson.Value) (T, error)) (out T) {
	v := f.get(name)
	if v == nil {
		return out
	}
	out, err := as(v)
	if err != nil {
		f.wrongType(name, v)
	}
	return out
}

func (f *objectReader) bytes(name string) []byte {
	return readField(f, name, (*fastjson.Value).StringBytes)
}

func (f *objectReader) text(name string) string { return string(f.bytes(name)) }

func (f *objectReader) unsigned(name string) uint64 {
	return readField(f, name, (*fastjson.Value).Uint64)
}

func (f *objectReader) boolean(name string) bool { return readField(f, name, (*fastjson.Value).Bool) }

func (f *objectReader) list(name string) []*fastjson.Value {
	return readField(f, name, (*fastjson.Value).Array)
}

// knownText is a text that is nearly always one of those of the protocol, which need no
// memory of their own.
func (f *objectReader) knownText(name string) string {
	b := f.bytes(name)
	switch string(b) { // not copied for the comparison
	case StatusPulling:
		return StatusPulling
	case StatusAwaitingGang:
		return StatusAwaitingGang
	case StatusRunning:
		return StatusRunning
	case StatusCheckpointing:
		return StatusCheckpointing
	case StatusEnded:
		return StatusEnded
	case CauseDone:
		return CauseDone
	}
	return string(b)
}

func (f *objectReader) seconds(name string) *float64 {
	v := f.get(name)
	if v == nil {
		return nil
	}
	x, err := v.Float64()
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		f.wrongType(name, v)
		return nil
	}
	return &x
}

// Verbs of orders.
const (
	VerbStart       = "launch"
	VerbStop        = "halt"
	VerbAcknowledge = "forget"
)

// Command is a command to a worker.
type Command struct {
	Verb         string   `json:"verb"`
	Task         string   `json:"shift"`
	Attempt      uint64   `json:"try"`
	GracePeriodS *float64 `json:"leewayS,omitempty"`
}

// HeartbeatResponse is the response to a report.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"` // the fencing token: the stamp of the share's record, or the worker's if that is newer
	Commands     []Command `json:"orders"`
}

// Record is a worker's durable record: the share that owns it.
type Record struct {
	Shard       string `json:"share"`
	Addr        string `json:"addr"`
	MachineType string `json:"build"`
	Zone        string `json:"zone"`
	Spot        bool   `json:"spot"`
	// RegisteredAtMS is the time of day (Unix ms) of its first report.
	RegisteredAtMS int64 `json:"at"`
}
