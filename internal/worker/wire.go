// Package worker holds what workers and controllers say to each other.
package worker

import (
	"fmt"
	"math"

	"github.com/valyala/fastjson"
)

// States of a task on a machine, as reported.
const (
	Pulling   = "pulling"
	Gathering = "gathering"
	Running   = "running"
	Saving    = "saving"
	Ended     = "ended"
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

// Entry is one task of a report.
type Entry struct {
	Task   string `json:"shift"`
	Try    uint64 `json:"try"`
	Status string `json:"status"`
	Cause  string `json:"cause"`
	Kept   bool   `json:"kept"`
}

// Report is what a worker says of itself.
type Report struct {
	Host   string   `json:"host"`
	Addr   string   `json:"addr"`
	Build  string   `json:"build"`
	Zone   string   `json:"valley"`
	Spot   bool     `json:"loaners"`
	Watch  uint64   `json:"watch"`
	Tick   uint64   `json:"tick"`
	Token  uint64   `json:"baton"` // the highest fencing token that the worker has seen
	Recall *float64 `json:"recallS"`
	Tasks  []Entry  `json:"shifts"`
}

// parsers are shared: most of what a controller does in a day is reading reports,
// and the parser's memory is worth keeping.
var parsers fastjson.ParserPool

// ParseReport reads and checks a report; an error names the field.
func ParseReport(body []byte) (*Report, error) {
	p := parsers.Get()
	defer parsers.Put(p) // nothing of its memory is kept: strings are copied
	v, err := p.ParseBytes(body)
	if err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	o, err := v.Object()
	if err != nil {
		return nil, fmt.Errorf("body: not an object")
	}
	f := fields{object: o}
	r := &Report{Host: f.text("host"), Addr: f.text("addr"), Build: f.text("build"), Zone: f.text("valley"),
		Spot: f.flag("loaners"), Watch: f.count("watch"), Tick: f.count("tick"), Token: f.count("baton"), Recall: f.seconds("recallS")}
	entries := f.list("shifts")
	if len(entries) > 0 {
		r.Tasks = make([]Entry, len(entries))
	}
	for i, e := range entries {
		eo, err := e.Object()
		if err != nil {
			return nil, fmt.Errorf("shifts[%d]: not an object", i)
		}
		ef := fields{object: eo}
		r.Tasks[i] = Entry{Task: ef.text("shift"), Try: ef.count("try"), Status: ef.word("status"), Cause: ef.word("cause"),
			Kept: ef.flag("kept")}
		switch {
		case ef.err != nil:
			return nil, fmt.Errorf("shifts[%d].%w", i, ef.err)
		case r.Tasks[i].Task == "" || r.Tasks[i].Status == "":
			return nil, fmt.Errorf("shifts[%d]: incomplete", i)
		}
	}
	switch {
	case f.err != nil:
		return nil, f.err
	case r.Host == "" || len(r.Host) > 100:
		return nil, fmt.Errorf("host: missing or too long")
	case r.Build == "":
		return nil, fmt.Errorf("build: missing")
	case r.Zone == "":
		return nil, fmt.Errorf("valley: missing")
	case r.Watch == 0:
		return nil, fmt.Errorf("watch: missing")
	}
	for _, c := range r.Host {
		if c <= ' ' || c == '/' || c > '~' {
			return nil, fmt.Errorf("host: bad character")
		}
	}
	return r, nil
}

// fields reads an object's fields; a field that is missing or null is empty. err is
// the first wrong type, and names the field.
type fields struct {
	object *fastjson.Object
	err    error
}

func (f *fields) get(name string) *fastjson.Value {
	v := f.object.Get(name)
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	return v
}

func (f *fields) wrong(name string, v *fastjson.Value) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: wrong type %s", name, v.Type())
	}
}

// read is a field of the type that as gives.
func read[T any](f *fields, name string, as func(*fastjson.Value) (T, error)) (out T) {
	v := f.get(name)
	if v == nil {
		return out
	}
	out, err := as(v)
	if err != nil {
		f.wrong(name, v)
	}
	return out
}

func (f *fields) raw(name string) []byte {
	return read(f, name, (*fastjson.Value).StringBytes)
}

func (f *fields) text(name string) string { return string(f.raw(name)) }

func (f *fields) count(name string) uint64 { return read(f, name, (*fastjson.Value).Uint64) }

func (f *fields) flag(name string) bool { return read(f, name, (*fastjson.Value).Bool) }

func (f *fields) list(name string) []*fastjson.Value {
	return read(f, name, (*fastjson.Value).Array)
}

// word is a text that is nearly always one of those of the protocol, which need no
// memory of their own.
func (f *fields) word(name string) string {
	b := f.raw(name)
	switch string(b) { // not copied for the comparison
	case Pulling:
		return Pulling
	case Gathering:
		return Gathering
	case Running:
		return Running
	case Saving:
		return Saving
	case Ended:
		return Ended
	case CauseDone:
		return CauseDone
	}
	return string(b)
}

func (f *fields) seconds(name string) *float64 {
	v := f.get(name)
	if v == nil {
		return nil
	}
	x, err := v.Float64()
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		f.wrong(name, v)
		return nil
	}
	return &x
}

// Verbs of orders.
const (
	Launch = "launch"
	Halt   = "halt"
	Forget = "forget"
)

// Order is a command to a worker.
type Order struct {
	Verb   string   `json:"verb"`
	Task   string   `json:"shift"`
	Try    uint64   `json:"try"`
	Leeway *float64 `json:"leewayS,omitempty"`
}

// Answer is the response to a report.
type Answer struct {
	Token  uint64  `json:"baton"` // the fencing token: the stamp of the share's record, or the worker's if that is newer
	Orders []Order `json:"orders"`
}

// Record is a worker's durable record: the share that owns it.
type Record struct {
	Share string `json:"share"`
	Addr  string `json:"addr"`
	Build string `json:"build"`
	Zone  string `json:"zone"`
	Spot  bool   `json:"spot"`
	// SinceMS is the time of day (Unix ms) of its first report.
	SinceMS int64 `json:"at"`
}
