package jobs

import (
	"slices"

	"cherrywall/internal/capacity"
)

// Kind says how the tasks of a job belong together.
type Kind string

// The kinds of jobs, by their names in the protocol.
const (
	// Array is a job of independent tasks.
	Array Kind = "sweep"
	// Gang is a job of which all tasks run at the same time or none.
	Gang Kind = "group"
	// Service is a job whose tasks run until the job is cancelled.
	Service Kind = "daemon"
)

// MaxTasks is the protocol's bound on the tasks of a job.
const MaxTasks = 100_000

// Priority is a job's rank; a higher one goes first.
type Priority int

// PriorityCount is the number of priorities.
const PriorityCount = 4

// priorityNames are the protocol's names from the lowest priority to the highest.
var priorityNames = [PriorityCount]string{"idle", "normal", "high", "prod"}

// HighestPriority returns the rank of the most urgent jobs.
func HighestPriority() Priority { return PriorityCount - 1 }

// PriorityName returns the protocol's name of a priority.
func PriorityName(p Priority) string { return priorityNames[p] }

// Spec is a job as a user submits it.
type Spec struct {
	// Ref is the user's id of the job. It makes a submission idempotent.
	Ref          string   `json:"ref"`
	Class        string   `json:"lot"`
	Team         string   `json:"crew"`
	Kind         Kind     `json:"shape"`
	Urgency      string   `json:"urgency"`
	Tasks        int      `json:"shifts"`
	CPU          float64  `json:"vcpus"`   // of each task
	GPU          float64  `json:"cards"`   // of each task
	MemGB        float64  `json:"ramGb"`   // of each task
	MachineTypes []string `json:"builds"`  // nil: any
	Zone         *string  `json:"valley"`  // nil: any
	OneZone      bool     `json:"oneZone"` // all tasks must run in the same zone
	Spread       bool     `json:"spread"`  // at most half of the tasks, rounded up, may run in one zone
	Spot         bool     `json:"loaners"` // whether it may run on spot machines
	Image        string   `json:"kit"`
	ImageGB      float64  `json:"imageGb"`
	// EstimatedRunSeconds is the user's estimate of the run time of a task.
	EstimatedRunSeconds float64 `json:"guessS"`
	// CheckpointIntervalSeconds is the time between two checkpoints of a task; 0: it saves none.
	CheckpointIntervalSeconds float64 `json:"waypointS"`
	// CheckpointSaveSeconds is how long it takes a task to save a checkpoint.
	CheckpointSaveSeconds float64 `json:"stashS"`
	// DeadlineSeconds counts from the acceptance; nil: none.
	DeadlineSeconds *float64 `json:"dueS"`
	// DependsOn are jobs that have to be done before any task of this one starts, each once.
	DependsOn []string `json:"awaits,omitempty"`
}

// Priority returns the job's rank, -1 if its urgency is unknown.
func (s *Spec) Priority() Priority { return Priority(slices.Index(priorityNames[:], s.Urgency)) }

// Need returns what each task takes of its machine.
func (s *Spec) Need() capacity.Resources {
	return capacity.Resources{CPU: s.CPU, GPU: s.GPU, MemGB: s.MemGB}
}

// Allows reports whether the job may run on a group of machines at all.
func (s *Spec) Allows(group capacity.Group) bool {
	return (s.Spot || !group.Spot) && (s.Zone == nil || *s.Zone == group.Zone) &&
		(s.MachineTypes == nil || slices.Contains(s.MachineTypes, group.MachineType))
}

// ClassLimits are the most that a job of a class may ask for. 0 means no limit of tasks and run
// time.
type ClassLimits struct {
	MaxRetries int `json:"retries"` // in a pipeline file
	MaxTasks   int `json:"tasks"`
	// MaxRunSeconds bounds the expected run time of a task.
	MaxRunSeconds float64 `json:"run_s"`
}

// ExceededByTasks reports whether a job has more tasks than allowed.
func (l ClassLimits) ExceededByTasks(s *Spec) bool { return l.MaxTasks > 0 && s.Tasks > l.MaxTasks }

// ExceededByRunTime reports whether a job's tasks are expected to run longer than allowed.
func (l ClassLimits) ExceededByRunTime(s *Spec) bool {
	return l.MaxRunSeconds > 0 && s.EstimatedRunSeconds > l.MaxRunSeconds
}
