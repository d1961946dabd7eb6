package jobs

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"reflect"
	"regexp"
	"slices"
)

// ValidationError is the fault of a submission or a record. Field is the name of the faulty
// field in its JSON form, or "body" for the whole.
type ValidationError struct {
	Field  string
	Reason string
	// Err is the cause, if there is one. Reason includes its text.
	Err error
}

// Error returns the field and the reason.
func (e *ValidationError) Error() string { return e.Field + ": " + e.Reason }

// Unwrap returns the cause, if there is one.
func (e *ValidationError) Unwrap() error { return e.Err }

func invalid(field, format string, args ...any) error {
	return &ValidationError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

func invalidBody(cause error) error {
	return &ValidationError{Field: "body", Reason: cause.Error(), Err: cause}
}

// requiredFields and optionalFields are the names of a submission's fields. Any other field is
// ignored, also one that differs only in case.
var requiredFields = []string{"ref", "lot", "crew", "shape", "urgency", "shifts", "vcpus", "cards", "ramGb",
	"kit", "imageGb", "oneZone", "spread", "loaners", "guessS", "waypointS", "stashS"}

var optionalFields = []string{"builds", "valley", "dueS", "awaits"}

// ParseSpec decodes and validates a submission. Every error is a *ValidationError. If only the
// values are invalid, the Spec is returned with the error.
func ParseSpec(body []byte) (*Spec, error) {
	known, err := knownFields(body)
	if err != nil {
		return nil, err
	}
	raw, err := json.Marshal(known)
	if err != nil {
		return nil, invalidBody(err)
	}
	var spec Spec
	if err := json.Unmarshal(raw, &spec); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) && typeError.Field != "" {
			return nil, invalid(typeError.Field, "wrong type %s", typeError.Value)
		}
		return nil, invalidBody(err)
	}
	if err := spec.validate(); err != nil {
		return &spec, err
	}
	spec.DependsOn = withoutDuplicates(spec.DependsOn)
	return &spec, nil
}

// DescribeDecodeError returns an error of the decoding of a Spec or a JobRecord in which the type of
// a job's kind is called what it is in JSON: a string. Operators read these errors.
func DescribeDecodeError(err error) error {
	var typeError *json.UnmarshalTypeError
	if !errors.As(err, &typeError) || typeError.Type != reflect.TypeFor[Kind]() {
		return err
	}
	described := *typeError
	described.Type = reflect.TypeFor[string]()
	return &described
}

// knownFields returns the fields of a submission whose names match exactly. encoding/json alone
// would also take names that differ in case.
func knownFields(body []byte) (map[string]json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return nil, invalid("body", "not a JSON object")
	}
	known := map[string]json.RawMessage{}
	for _, name := range requiredFields {
		raw, ok := fields[name]
		if !ok || string(raw) == "null" {
			return nil, invalid(name, "missing")
		}
		known[name] = raw
	}
	for _, name := range optionalFields {
		if raw, ok := fields[name]; ok {
			known[name] = raw
		}
	}
	return known, nil
}

// ParseRef returns the job reference in a body that may be invalid otherwise: a repeated
// submission of an accepted job is answered 200 whatever its body says now.
func ParseRef(body []byte) (ref string, ok bool) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil || json.Unmarshal(fields["ref"], &ref) != nil {
		return "", false
	}
	return ref, ValidRef(ref)
}

var refPattern = regexp.MustCompile(`^[a-z]{1,16}-[0-9]{1,18}$`)

// ValidRef reports whether a job reference has the protocol's form.
func ValidRef(ref string) bool { return refPattern.MatchString(ref) }

// NumberedRef returns a reference in the protocol's form, of a prefix and the last 18 decimal
// digits of a number.
func NumberedRef(prefix string, n uint64) string {
	return fmt.Sprintf("%s-%018d", prefix, n%1_000_000_000_000_000_000)
}

// withoutDuplicates removes names that were given before. It reuses the slice.
func withoutDuplicates(names []string) []string {
	seen := make(map[string]bool, len(names))
	return slices.DeleteFunc(names, func(name string) bool {
		isDuplicate := seen[name]
		seen[name] = true
		return isDuplicate
	})
}

// validate returns the first fault of a submission.
func (s *Spec) validate() error {
	if err := s.validateFields(); err != nil {
		return err
	}
	if err := s.validateAmounts(); err != nil {
		return err
	}
	if err := s.validateDependencies(); err != nil {
		return err
	}
	if s.CPU == 0 && s.GPU == 0 && s.MemGB == 0 {
		return invalid("vcpus", "a task must take something")
	}
	return nil
}

func (s *Spec) validateFields() error {
	switch {
	case !ValidRef(s.Ref):
		return invalid("ref", "bad form")
	case s.Class == "":
		return invalid("lot", "empty")
	case s.Team == "":
		return invalid("crew", "empty")
	case !isKind(s.Kind):
		return invalid("shape", "unknown %q", s.Kind)
	case s.Priority() < 0:
		return invalid("urgency", "unknown %q", s.Urgency)
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return invalid("shifts", "must be 1 to %d", MaxTasks)
	case s.Image == "":
		return invalid("kit", "empty")
	case s.MachineTypes != nil && (len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, "")):
		return invalid("builds", "empty, or an empty name")
	case s.Zone != nil && *s.Zone == "":
		return invalid("valley", "empty")
	case s.DeadlineSeconds != nil && !(*s.DeadlineSeconds > 0 && !math.IsInf(*s.DeadlineSeconds, 0)):
		return invalid("dueS", "must be above 0")
	}
	return nil
}

func (s *Spec) validateAmounts() error {
	for _, amount := range []struct {
		field string
		value float64
	}{
		{"vcpus", s.CPU}, {"cards", s.GPU}, {"ramGb", s.MemGB}, {"imageGb", s.ImageGB},
		{"guessS", s.EstimatedRunSeconds}, {"waypointS", s.CheckpointIntervalSeconds},
		{"stashS", s.CheckpointSaveSeconds},
	} {
		if !(amount.value >= 0) || math.IsInf(amount.value, 0) {
			return invalid(amount.field, "must be a number not below 0")
		}
	}
	return nil
}

func (s *Spec) validateDependencies() error {
	for i, ref := range s.DependsOn {
		field := fmt.Sprintf("awaits[%d]", i)
		switch {
		case !ValidRef(ref):
			return invalid(field, "not a job id")
		case ref == s.Ref:
			return invalid(field, "a job can't wait for itself")
		}
	}
	return nil
}

func isKind(kind Kind) bool { return kind == Array || kind == Gang || kind == Service }
