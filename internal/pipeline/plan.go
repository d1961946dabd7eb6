// Package pipeline parses pipeline files, which define jobs in stages. They use the published format of GitLab's
// CI files ("the GitLab format") as far as it applies to a cluster. The package reports all problems of a file
// at once, each with its position, and makes a plan of a file without problems. It does not run the plan.
package pipeline

import "cherrywall/internal/jobs"

// Plan is a parsed file. Its jobs contain the values that they inherit from the "default" key and from
// other jobs.
type Plan struct {
	Stages []string `json:"stages"`
	Jobs   []Job    `json:"jobs"`
}

// Job is a job of a plan.
type Job struct {
	Name  string `json:"name"`
	Stage int    `json:"stage"` // index in the plan's stages
	// Needs are the indexes of the jobs that have to end before this one starts. If
	// WaitsForEarlierStages is true, Needs is empty and all jobs of the earlier stages have to end
	// instead.
	Needs                 []int     `json:"needs,omitempty"`
	WaitsForEarlierStages bool      `json:"staged,omitempty"`
	Spec                  jobs.Spec `json:"spec"` // its Ref is empty, since each attempt is submitted under a Ref of its own
	// Retries is the maximum number of retries. The job is retried only after the causes in RetryOn.
	Retries        int            `json:"retries,omitempty"`
	RetryOn        []FailureCause `json:"retry_on,omitempty"`
	TimeoutSeconds float64        `json:"timeout_s,omitempty"` // counted from the acceptance of an attempt; 0 means no timeout
	When           When           `json:"when"`
	StartInSeconds float64        `json:"start_in_s,omitempty"` // delay of the start if When is Delayed
	AllowFailure   bool           `json:"allow_failure,omitempty"`
	ResourceGroup  string         `json:"group,omitempty"`
	Interruptible  bool           `json:"interruptible,omitempty"`
	Line           int            `json:"line"` // line of the job's name in the file
}

// When is the condition under which a job starts after its dependencies have ended.
type When string

// The conditions, by their names in the GitLab format.
const (
	OnSuccess When = "on_success"
	OnFailure When = "on_failure"
	Always    When = "always"
	Manual    When = "manual"
	Delayed   When = "delayed"
)

// FailureCause is the reason why an attempt of a job failed.
type FailureCause string

// The causes that can occur in cherrywall, by their names in the GitLab format.
const (
	CauseTimeout       FailureCause = "job_execution_timeout"
	CauseScriptFailure FailureCause = "script_failure" // the job failed on several machines on which other jobs succeed
)

// retryCauses maps the values of the "retry.when" key in the GitLab format to the causes that they
// include in cherrywall. Values that include only causes that cannot occur in cherrywall map to
// nil.
var retryCauses = map[string][]FailureCause{
	"always":                     {CauseTimeout, CauseScriptFailure},
	"script_failure":             {CauseScriptFailure},
	"job_execution_timeout":      {CauseTimeout},
	"stuck_or_timeout_failure":   {CauseTimeout},
	"unknown_failure":            nil,
	"api_failure":                nil,
	"runner_system_failure":      nil,
	"runner_unsupported":         nil,
	"stale_schedule":             nil,
	"archived_failure":           nil,
	"unmet_prerequisites":        nil,
	"scheduler_failure":          nil,
	"data_integrity_failure":     nil,
	"missing_dependency_failure": nil,
}
