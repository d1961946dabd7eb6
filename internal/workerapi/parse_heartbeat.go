package workerapi

import (
	"errors"
	"fmt"
	"math"

	"github.com/valyala/fastjson"
)

// maxHostLength is the maximum length of a worker's host name in bytes. Host names are part of keys in the
// key-value store.
const maxHostLength = 100

// FieldError means that a field of a heartbeat is missing or invalid.
type FieldError struct {
	Field string // the field's path in the JSON form, or "body"
	Err   error
}

// Error returns the field and the error in it.
func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the error in the field.
func (e *FieldError) Unwrap() error { return e.Err }

// The errors in a field. Only the error for a field of the wrong type is not among them: it names the type, so
// recordWrongType creates it.
var (
	errMissing          = errors.New("missing")
	errMissingOrTooLong = errors.New("missing or too long")
	errBadCharacter     = errors.New("bad character")
	errNotAnObject      = errors.New("not an object")
	errIncomplete       = errors.New("incomplete")
)

// parserPool reuses the memory of the parsers, because a controller spends most of its processor time on reading
// heartbeats.
var parserPool fastjson.ParserPool

// ParseHeartbeat reads and checks a heartbeat. The error is a *FieldError.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	parser := parserPool.Get()
	defer parserPool.Put(parser) // safe because the heartbeat contains copies of all strings
	value, err := parser.ParseBytes(body)
	if err != nil {
		return nil, &FieldError{"body", err}
	}
	object, err := value.Object()
	if err != nil {
		return nil, &FieldError{"body", errNotAnObject}
	}
	reader := objectReader{object: object}
	heartbeat := &Heartbeat{
		Host:          reader.text("host"),
		Addr:          reader.text("addr"),
		MachineType:   reader.text("build"),
		Zone:          reader.text("valley"),
		Spot:          reader.boolean("loaners"),
		AgentEpoch:    reader.unsigned("watch"),
		Sequence:      reader.unsigned("tick"),
		FencingToken:  reader.unsigned("baton"),
		PreemptionInS: reader.seconds("recallS"),
	}
	if heartbeat.Tasks, err = parseTasks(reader.list("shifts")); err != nil {
		return nil, err
	}
	if reader.err != nil {
		return nil, reader.err
	}
	if err := heartbeat.validate(); err != nil {
		return nil, err
	}
	return heartbeat, nil
}

// parseTasks reads the tasks of a heartbeat. It returns nil if there are none.
func parseTasks(values []*fastjson.Value) ([]TaskStatus, error) {
	if len(values) == 0 {
		return nil, nil
	}
	tasks := make([]TaskStatus, len(values))
	for i, value := range values {
		if err := tasks[i].parse(value); err != nil {
			field := fmt.Sprintf("shifts[%d]", i)
			if err.Field != "" {
				field += "." + err.Field
			}
			return nil, &FieldError{field, err.Err}
		}
	}
	return tasks, nil
}

// parse reads a task. An error with an empty Field concerns the whole task.
func (t *TaskStatus) parse(value *fastjson.Value) *FieldError {
	object, err := value.Object()
	if err != nil {
		return &FieldError{"", errNotAnObject}
	}
	reader := objectReader{object: object}
	*t = TaskStatus{
		Task:           reader.text("shift"),
		Attempt:        reader.unsigned("try"),
		Status:         reader.taskState("status"),
		Cause:          reader.exitCause("cause"),
		CheckpointKept: reader.boolean("kept"),
	}
	if reader.err != nil {
		return reader.err
	}
	if t.Task == "" || t.Status == "" {
		return &FieldError{"", errIncomplete}
	}
	return nil
}

// validate checks the required fields of a heartbeat.
func (h *Heartbeat) validate() error {
	switch {
	case h.Host == "" || len(h.Host) > maxHostLength:
		return &FieldError{"host", errMissingOrTooLong}
	case h.MachineType == "":
		return &FieldError{"build", errMissing}
	case h.Zone == "":
		return &FieldError{"valley", errMissing}
	case h.AgentEpoch == 0:
		return &FieldError{"watch", errMissing}
	}
	for _, char := range h.Host {
		if char <= ' ' || char == '/' || char > '~' {
			return &FieldError{"host", errBadCharacter}
		}
	}
	return nil
}

// objectReader reads the fields of a JSON object. The value of a field that is missing or null is the zero value.
// err describes the first field of the wrong type.
type objectReader struct {
	object *fastjson.Object
	err    *FieldError
}

func (r *objectReader) get(name string) *fastjson.Value {
	value := r.object.Get(name)
	if value == nil || value.Type() == fastjson.TypeNull {
		return nil
	}
	return value
}

func (r *objectReader) recordWrongType(name string, value *fastjson.Value) {
	if r.err == nil {
		r.err = &FieldError{name, fmt.Errorf("wrong type %s", value.Type())}
	}
}

// readField reads a field with convert, which fails if the field is of another type.
func readField[T any](r *objectReader, name string, convert func(*fastjson.Value) (T, error)) (field T) {
	value := r.get(name)
	if value == nil {
		return field
	}
	field, err := convert(value)
	if err != nil {
		r.recordWrongType(name, value)
	}
	return field
}

func (r *objectReader) bytes(name string) []byte {
	return readField(r, name, (*fastjson.Value).StringBytes)
}

func (r *objectReader) text(name string) string { return string(r.bytes(name)) }

func (r *objectReader) unsigned(name string) uint64 {
	return readField(r, name, (*fastjson.Value).Uint64)
}

func (r *objectReader) boolean(name string) bool {
	return readField(r, name, (*fastjson.Value).Bool)
}

func (r *objectReader) list(name string) []*fastjson.Value {
	return readField(r, name, (*fastjson.Value).Array)
}

// taskState reads a task state. Nearly all states are constants of the protocol, for which taskState allocates no
// memory.
func (r *objectReader) taskState(name string) TaskState {
	text := r.bytes(name)
	switch TaskState(text) { // the compiler does not copy the bytes for the comparison
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
	}
	return TaskState(text)
}

// exitCause reads an exit cause. It allocates no memory for CauseDone, the most frequent cause.
func (r *objectReader) exitCause(name string) ExitCause {
	text := r.bytes(name)
	if ExitCause(text) == CauseDone { // the compiler does not copy the bytes for the comparison
		return CauseDone
	}
	return ExitCause(text)
}

// seconds reads a finite number. It returns nil if the field is missing or null. Any other value is of the wrong
// type.
func (r *objectReader) seconds(name string) *float64 {
	value := r.get(name)
	if value == nil {
		return nil
	}
	seconds, err := value.Float64()
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) {
		r.recordWrongType(name, value)
		return nil
	}
	return &seconds
}
