package jobs

import (
	"slices"

	"cherrywall/internal/capacity"
)

// Kind tells whether a job's tasks run independently, all at the same time, or until it is cancelled.
type Kind string

// The kinds of jobs. The values are the protocol's names.
const (
	// Array is a job of independent tasks.
	Array Kind = "sweep"
	// Gang is a job whose tasks run either all at the same time or not at all.
	Gang Kind = "group"
	// Service is a job whose tasks run until the job is cancelled.
	Service Kind = "daemon"
)

// MaxTasks is the largest number of tasks that the protocol allows for a job.
const MaxTasks = 100_000

// Priority is a job's rank. Jobs with a higher priority are scheduled first.
type Priority int

// PriorityCount is the number of priorities.
const PriorityCount = 4

// priorityNames are the protocol's names of the priorities, lowest first.
var priorityNames = [PriorityCount]string{"idle", "normal", "high", "prod"}

// HighestPriority returns the priority of the most urgent jobs.
func HighestPriority() Priority { return PriorityCount - 1 }

// PriorityName returns the protocol's name of a priority. The priority must be from 0 to HighestPriority.
func PriorityName(p Priority) string { return priorityNames[p] }

// Spec is a job as a user submits it.
type Spec struct {
	// Ref is the id of the job, chosen by the user. It makes submissions idempotent.
	Ref          string   `json:"ref"`
	Class        string   `json:"lot"`
	Team         string   `json:"crew"`
	Kind         Kind     `json:"shape"`
	Urgency      string   `json:"urgency"`
	Tasks        int      `json:"shifts"`
	CPU          float64  `json:"vcpus"`   // CPUs for each task
	GPU          float64  `json:"cards"`   // GPUs for each task
	MemGB        float64  `json:"ramGb"`   // memory for each task
	MachineTypes []string `json:"builds"`  // nil allows any type
	Zone         *string  `json:"valley"`  // nil allows any zone
	OneZone      bool     `json:"oneZone"` // all tasks must run in the same zone
	Spread       bool     `json:"spread"`  // at most half of the tasks, rounded up, may run in one zone
	Spot         bool     `json:"loaners"` // the job may run on spot machines
	Image        string   `json:"kit"`
	ImageGB      float64  `json:"imageGb"`
	// EstimatedRunSeconds is the user's estimate of a task's run time.
	EstimatedRunSeconds float64 `json:"guessS"`
	// CheckpointIntervalSeconds is the time between two checkpoints of a task; 0 means that tasks
	// save no checkpoints.
	CheckpointIntervalSeconds float64 `json:"waypointS"`
	// CheckpointSaveSeconds is how long it takes a task to save a checkpoint.
	CheckpointSaveSeconds float64 `json:"stashS"`
	// DeadlineSeconds is the time from the job's acceptance to its deadline; nil means no deadline.
	DeadlineSeconds *float64 `json:"dueS"`
	// DependsOn are the jobs that must be done before any task of this job starts, without
	// duplicates.
	DependsOn []string `json:"awaits,omitempty"`
}

// Priority returns the job's priority, -1 if its urgency is unknown.
func (s *Spec) Priority() Priority { return Priority(slices.Index(priorityNames[:], s.Urgency)) }

// Need returns the resources that each task takes on its machine.
func (s *Spec) Need() capacity.Resources {
	return capacity.Resources{CPU: s.CPU, GPU: s.GPU, MemGB: s.MemGB}
}

// Allows reports whether the job's zone, machine types and spot setting permit a group of machines.
func (s *Spec) Allows(group capacity.Group) bool {
	return (s.Spot || !group.Spot) && (s.Zone == nil || *s.Zone == group.Zone) &&
		(s.MachineTypes == nil || slices.Contains(s.MachineTypes, group.MachineType))
}

// ClassLimits are the limits on what a job of a class may request. For MaxTasks and MaxRunSeconds,
// 0 means no limit.
type ClassLimits struct {
	MaxRetries int `json:"retries"` // limits the retries of jobs in pipeline files; 0 allows none
	MaxTasks   int `json:"tasks"`
	// MaxRunSeconds limits the user's estimate of a task's run time.
	MaxRunSeconds float64 `json:"run_s"`
}

// ExceededByTasks reports whether a job has more tasks than the limits allow.
func (l ClassLimits) ExceededByTasks(s *Spec) bool { return l.MaxTasks > 0 && s.Tasks > l.MaxTasks }

// ExceededByRunTime reports whether the estimated run time of a job's tasks exceeds the limits.
func (l ClassLimits) ExceededByRunTime(s *Spec) bool {
	return l.MaxRunSeconds > 0 && s.EstimatedRunSeconds > l.MaxRunSeconds
}
