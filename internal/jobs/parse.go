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

// ValidationError reports that a submission or a record is invalid.
type ValidationError struct {
	// Field is the JSON name of the invalid field, or "body" if the body as a whole is invalid.
	Field  string
	Reason string
	// Err is the error that caused this one, nil if there is none. Reason includes its text.
	Err error
}

// Error returns the field and the reason.
func (e *ValidationError) Error() string { return e.Field + ": " + e.Reason }

// Unwrap returns the cause, nil if there is none.
func (e *ValidationError) Unwrap() error { return e.Err }

func newValidationError(field, format string, args ...any) error {
	return &ValidationError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

func newBodyError(cause error) error {
	return &ValidationError{Field: "body", Reason: cause.Error(), Err: cause}
}

// requiredFields and optionalFields are the JSON names of a submission's fields. Any other
// field is ignored, including one whose name differs only in case.
var requiredFields = []string{"ref", "lot", "crew", "shape", "urgency", "shifts", "vcpus", "cards", "ramGb",
	"kit", "imageGb", "oneZone", "spread", "loaners", "guessS", "waypointS", "stashS"}

var optionalFields = []string{"builds", "valley", "dueS", "awaits"}

// ParseSpec decodes and validates a submission. Every error is a *ValidationError. If the submission
// can be decoded but a value is invalid, ParseSpec returns the Spec together with the error.
func ParseSpec(body []byte) (*Spec, error) {
	specFields, err := knownFields(body)
	if err != nil {
		return nil, err
	}
	raw, err := json.Marshal(specFields)
	if err != nil {
		return nil, newBodyError(err)
	}
	var spec Spec
	if err := json.Unmarshal(raw, &spec); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) && typeError.Field != "" {
			return nil, newValidationError(typeError.Field, "wrong type %s", typeError.Value)
		}
		return nil, newBodyError(err)
	}
	if err := spec.validate(); err != nil {
		return &spec, err
	}
	spec.DependsOn = removeDuplicates(spec.DependsOn)
	return &spec, nil
}

// DescribeDecodeError rewrites an error from decoding a Spec or a JobRecord for operators: if the
// error names the Go type Kind, the result names the JSON type string instead. Any other error is
// returned unchanged.
func DescribeDecodeError(err error) error {
	var typeError *json.UnmarshalTypeError
	if !errors.As(err, &typeError) || typeError.Type != reflect.TypeFor[Kind]() {
		return err
	}
	describedError := *typeError
	describedError.Type = reflect.TypeFor[string]()
	return &describedError
}

// knownFields returns the required and optional fields of a submission, by their exact names;
// encoding/json alone would also accept names that differ in case. The error is a *ValidationError
// if the body is not a JSON object or a required field is missing or null.
func knownFields(body []byte) (map[string]json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return nil, newValidationError("body", "not a JSON object")
	}
	specFields := map[string]json.RawMessage{}
	for _, name := range requiredFields {
		raw, ok := fields[name]
		if !ok || string(raw) == "null" {
			return nil, newValidationError(name, "missing")
		}
		specFields[name] = raw
	}
	for _, name := range optionalFields {
		if raw, ok := fields[name]; ok {
			specFields[name] = raw
		}
	}
	return specFields, nil
}

// ParseRef returns the job reference in the body of a submission. The rest of the body may be
// invalid, since a repeated submission of an accepted job is answered with status 200, whatever else
// its body contains. ok is false if the body contains no valid reference.
func ParseRef(body []byte) (ref string, ok bool) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil || json.Unmarshal(fields["ref"], &ref) != nil {
		return "", false
	}
	return ref, ValidRef(ref)
}

var refPattern = regexp.MustCompile(`^[a-z]{1,16}-[0-9]{1,18}$`)

// ValidRef reports whether a job reference has the form that the protocol requires.
func ValidRef(ref string) bool { return refPattern.MatchString(ref) }

// NumberedRef returns a job reference in the form that the protocol requires. It consists of a prefix
// and the last 18 decimal digits of a number, padded with zeros.
func NumberedRef(prefix string, n uint64) string {
	return fmt.Sprintf("%s-%018d", prefix, n%1_000_000_000_000_000_000)
}

// removeDuplicates keeps only the first occurrence of each name. It modifies the slice in place.
func removeDuplicates(names []string) []string {
	seen := make(map[string]bool, len(names))
	return slices.DeleteFunc(names, func(name string) bool {
		isDuplicate := seen[name]
		seen[name] = true
		return isDuplicate
	})
}

// validate returns a *ValidationError for the first invalid field of a submission.
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
		return newValidationError("vcpus", "a task must request CPU, GPU or memory")
	}
	return nil
}

func (s *Spec) validateFields() error {
	switch {
	case !ValidRef(s.Ref):
		return newValidationError("ref", "must be 1 to 16 lower-case letters, a hyphen and 1 to 18 digits")
	case s.Class == "":
		return newValidationError("lot", "empty")
	case s.Team == "":
		return newValidationError("crew", "empty")
	case !isKnownKind(s.Kind):
		return newValidationError("shape", "unknown %q", s.Kind)
	case s.Priority() < 0:
		return newValidationError("urgency", "unknown %q", s.Urgency)
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return newValidationError("shifts", "must be 1 to %d", MaxTasks)
	case s.Image == "":
		return newValidationError("kit", "empty")
	case s.MachineTypes != nil && (len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, "")):
		return newValidationError("builds", "must not be an empty list or contain an empty name")
	case s.Zone != nil && *s.Zone == "":
		return newValidationError("valley", "empty")
	case s.DeadlineSeconds != nil && !(*s.DeadlineSeconds > 0 && !math.IsInf(*s.DeadlineSeconds, 0)):
		return newValidationError("dueS", "must be above 0")
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
			return newValidationError(amount.field, "must be a finite number, 0 or above")
		}
	}
	return nil
}

func (s *Spec) validateDependencies() error {
	for i, ref := range s.DependsOn {
		field := fmt.Sprintf("awaits[%d]", i)
		switch {
		case !ValidRef(ref):
			return newValidationError(field, "not a valid job id")
		case ref == s.Ref:
			return newValidationError(field, "a job can't depend on itself")
		}
	}
	return nil
}

func isKnownKind(kind Kind) bool { return kind == Array || kind == Gang || kind == Service }
