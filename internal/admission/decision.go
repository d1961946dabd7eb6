package admission

// Verdict says whether a job is admitted.
type Verdict uint8

// The verdicts.
const (
	// Undecided means that too little is known about the cluster to decide.
	Undecided Verdict = iota
	// Admitted means that no reason to reject the job was found.
	Admitted
	// Rejected means that the job can never run on this cluster, or exceeds a limit.
	Rejected
)

// String returns the verdict as text for logs and test failures.
func (v Verdict) String() string {
	switch v {
	case Admitted:
		return "admitted"
	case Rejected:
		return "rejected"
	default:
		return "undecided"
	}
}

// Decision is the result of the validation of a job. The verdict of the zero value is Undecided.
type Decision struct {
	Verdict Verdict
	// Err is the reason for a rejection, nil for the other verdicts.
	Err error
}

// Decide returns the decision on a job after all checks were made. The job is rejected if err, the
// result of the checks, is not nil.
func Decide(err error) Decision {
	if err != nil {
		return Decision{Verdict: Rejected, Err: err}
	}
	return Decision{Verdict: Admitted}
}
