package config

import "cherrywall/internal/tuning"

// ObjectiveKind is what an objective measures. The settings may also contain kinds that are not
// listed here.
type ObjectiveKind string

// Kinds of objectives that apply to single jobs.
const (
	// ObjectiveStarted: a job's tasks have started within a given time.
	ObjectiveStarted ObjectiveKind = "wait"
	// ObjectiveFinished: a job is done within a given time.
	ObjectiveFinished ObjectiveKind = "finished"
	// ObjectiveDeadline: a job is done within a multiple of its own deadline.
	ObjectiveDeadline ObjectiveKind = "deadline"
)

// Objective is a service-level objective of the users.
type Objective struct {
	Kind          ObjectiveKind `toml:"kind"`
	Class         string        `toml:"class"`
	WithinSeconds float64       `toml:"within_s"`
	Fraction      float64       `toml:"share"` // the fraction of the jobs that must meet the objective
	// DeadlineMultiple is used only if Kind is ObjectiveDeadline: a job must be done within its
	// deadline times this number. 0 means 1.
	DeadlineMultiple float64 `toml:"times"`
}

// HasObjective reports whether an objective names the class. If no objective names a class, every
// class counts as named.
func (c *Config) HasObjective(class string) bool {
	isAnyClassNamed := false
	for _, objective := range c.Cluster.Objectives {
		if objective.Class != "" && objective.Class == class {
			return true
		}
		isAnyClassNamed = isAnyClassNamed || objective.Class != ""
	}
	return !isAnyClassNamed
}

// DeadlineMultiple returns the number by which the deadline of a job is multiplied to get the time
// within which the job should be done: the largest multiple that an objective of the job's class
// sets, but at least 1.
func (c *Config) DeadlineMultiple(class string) float64 {
	largestMultiple := 1.0
	for _, objective := range c.Cluster.Objectives {
		if objective.Kind == ObjectiveDeadline && objective.Class == class {
			largestMultiple = max(largestMultiple, objective.DeadlineMultiple)
		}
	}
	return largestMultiple
}

// TargetSeconds returns the time (s) within which a job of a class should be done: its deadline,
// or the objective of its class if that is shorter. For a job without a deadline, a time derived
// from tuning.WorkHorizon replaces the deadline.
func TargetSeconds(objectives []Objective, class string, deadline *float64) float64 {
	targetSeconds := tuning.WorkHorizon.Seconds() / tuning.DeadlineTargetFraction
	if deadline != nil {
		targetSeconds = *deadline
	}
	for _, objective := range objectives {
		if objective.Kind == ObjectiveFinished && objective.Class == class {
			return min(targetSeconds, objective.WithinSeconds)
		}
	}
	return targetSeconds
}
