package admission

// Verdict says whether a job is admitted.
type Verdict uint8

// The verdicts.
const (
	// Undecided means that too little is known of the cluster to say.
	Undecided Verdict = iota
	// Admitted means that nothing is wrong with the job.
	Admitted
	// Rejected means that the job can never run here, or exceeds a limit.
	Rejected
)

// String returns the verdict for logs and test failures.
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

// Decision is the result of the validation of a job. The zero value is undecided.
type Decision struct {
	Verdict Verdict
	// Err is what is wrong with a rejected job, nil for any other.
	Err error
}

// Decide returns the decision on a job of which all is known: err is what is wrong with it, or nil.
func Decide(err error) Decision {
	if err != nil {
		return Decision{Verdict: Rejected, Err: err}
	}
	return Decision{Verdict: Admitted}
}
