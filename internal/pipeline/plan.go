// Package pipeline parses pipeline files: jobs in stages, in the format of GitLab's CI files as far
// as it applies to a cluster. It reports all problems of a file at once, each with its position,
// and makes a plan of a file without problems. It does not run anything.
package pipeline

import "cherrywall/internal/jobs"

// Plan is a parsed file: its jobs, with all that they inherit.
type Plan struct {
	Stages []string `json:"stages"`
	Jobs   []Job    `json:"jobs"`
}

// Job is a job of a plan.
type Job struct {
	Name  string `json:"name"`
	Stage int    `json:"stage"` // index in the plan's stages
	// Needs are the indexes of the jobs that have to end before this one starts. If Staged is true
	// all jobs of the earlier stages have to end instead.
	Needs  []int     `json:"needs,omitempty"`
	Staged bool      `json:"staged,omitempty"`
	Spec   jobs.Spec `json:"spec"` // without reference: each attempt is submitted under its own
	// Retries is how often the job is retried, after the causes in RetryOn.
	Retries       int            `json:"retries,omitempty"`
	RetryOn       []FailureCause `json:"retry_on,omitempty"`
	TimeoutS      float64        `json:"timeout_s,omitempty"` // seconds, 0: none
	When          When           `json:"when"`
	StartInS      float64        `json:"start_in_s,omitempty"` // seconds
	AllowFailure  bool           `json:"allow_failure,omitempty"`
	Group         string         `json:"group,omitempty"` // resource group
	Interruptible bool           `json:"interruptible,omitempty"`
	Line          int            `json:"line"` // in the file
}

// When is the condition, beside its dependencies, on which a job starts.
type When string

// The conditions of the published format.
const (
	OnSuccess When = "on_success"
	OnFailure When = "on_failure"
	Always    When = "always"
	Manual    When = "manual"
	Delayed   When = "delayed"
)

// FailureCause is why an attempt of a job failed.
type FailureCause string

// The causes that can occur here, by their names of the published format.
const (
	CauseTimeout       FailureCause = "job_execution_timeout"
	CauseScriptFailure FailureCause = "script_failure" // it failed on several machines where other jobs succeed
)

// retryCauses has the names of causes to retry after in the published format, each with the causes that
// it stands for here; an empty list is for one that can't occur here.
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
