package pipeline

import (
	"fmt"

	"cherrywall/internal/jobs"
)

// jobKinds are the kinds of jobs by their names in files. Services are excluded because they never
// end.
var jobKinds = map[string]jobs.Kind{"": jobs.Array, "array": jobs.Array, "gang": jobs.Gang}

// compileSpec makes the spec that is submitted to the cluster. It reports fields that are missing or out of
// range, exceeded limits of the job's class and, if the cluster cannot run the job, the reason.
func (j *jobCompiler) compileSpec() {
	keys, spec := &j.keys.Cluster, &j.job.Spec
	*spec = newSpec(&j.keys)
	kind, isKnown := jobKinds[keys.Kind]
	if !isKnown {
		j.addProblem(j.problemNode("cluster", "kind"), "%s.cluster.kind: must be array or gang; a service never ends", j.jobName)
		return
	}
	spec.Kind = kind
	problemsBefore := len(j.problems)
	j.checkFields(spec, keys.DeadlineS)
	if len(j.problems) > problemsBefore {
		return
	}
	if j.classLimits != nil {
		j.checkClassLimits()
	}
	if j.validate == nil || len(j.problems) > problemsBefore {
		return
	}
	if err := j.validate(spec); err != nil {
		j.addProblem(j.problemNode("cluster"), "%s.cluster: %v", j.jobName, err)
	}
}

// newSpec makes a spec from a job's keys, with defaults for omitted keys. It does not set the kind.
func newSpec(keys *jobKeys) jobs.Spec {
	cluster := &keys.Cluster
	spec := jobs.Spec{
		Class:                     cluster.Class,
		Team:                      cluster.Team,
		Urgency:                   cluster.Priority,
		Tasks:                     cluster.Tasks,
		CPU:                       cluster.CPUs,
		GPU:                       cluster.GPUs,
		MemGB:                     cluster.MemoryGB,
		MachineTypes:              cluster.Types,
		OneZone:                   cluster.OneZone,
		Spread:                    cluster.Spread,
		Spot:                      cluster.Spot,
		Image:                     cluster.Image,
		ImageGB:                   cluster.ImageGB,
		EstimatedRunSeconds:       cluster.EstimateS,
		CheckpointIntervalSeconds: cluster.CheckpointS,
		CheckpointSaveSeconds:     cluster.SaveS,
	}
	if cluster.Zone != "" {
		spec.Zone = &cluster.Zone
	}
	if cluster.DeadlineS != 0 {
		spec.DeadlineSeconds = &cluster.DeadlineS
	}
	if spec.Image == "" {
		spec.Image = string(keys.Image)
	}
	if spec.Urgency == "" {
		spec.Urgency = "normal"
	}
	if spec.Tasks == 0 {
		spec.Tasks = 1
	}
	return spec
}

// checkFields reports the fields of a spec that are missing or out of range.
func (j *jobCompiler) checkFields(spec *jobs.Spec, deadlineSeconds float64) {
	const mustNotBeNegative = "must not be below 0"
	for _, field := range []struct {
		key     string
		invalid bool
		text    string
	}{
		{"class", spec.Class == "", "missing; must name the class of the job"},
		{"team", spec.Team == "", "missing; must name the team that the job runs for"},
		{"image", spec.Image == "", "missing; must name the image that the tasks run"},
		{"priority", spec.Priority() < 0, "must be idle, normal, high or prod"},
		{"tasks", spec.Tasks < 1 || spec.Tasks > jobs.MaxTasks, fmt.Sprintf("must be 1 to %d", jobs.MaxTasks)},
		{"types", spec.MachineTypes != nil && len(spec.MachineTypes) == 0, "must list at least one machine type; omit the key to allow all types"},
		{"cpus", !isNonNegative(spec.CPU), mustNotBeNegative},
		{"gpus", !isNonNegative(spec.GPU), mustNotBeNegative},
		{"memory_gb", !isNonNegative(spec.MemGB), mustNotBeNegative},
		{"image_gb", !isNonNegative(spec.ImageGB), mustNotBeNegative},
		{"estimate_s", !isNonNegative(spec.EstimatedRunSeconds), mustNotBeNegative},
		{"checkpoint_s", !isNonNegative(spec.CheckpointIntervalSeconds), mustNotBeNegative},
		{"save_s", !isNonNegative(spec.CheckpointSaveSeconds), mustNotBeNegative},
		{"deadline_s", !isNonNegative(deadlineSeconds), "must be above 0"},
		{"cpus", spec.CPU == 0 && spec.GPU == 0 && spec.MemGB == 0, "missing; a task must request cpus, gpus or memory_gb"},
	} {
		if field.invalid {
			j.addProblem(j.problemNode("cluster", field.key), "%s.cluster.%s: %s", j.jobName, field.key, field.text)
		}
	}
}

// isNonNegative reports whether a number is 0 or above. It returns false for NaN, for which number < 0 would
// be false as well.
func isNonNegative(number float64) bool { return number >= 0 }

// checkClassLimits checks a job against the operators' limits of its class.
func (j *jobCompiler) checkClassLimits() {
	spec := &j.job.Spec
	limits, hasLimits := j.classLimits(spec.Class)
	if !hasLimits {
		return
	}
	if j.job.Retries > limits.MaxRetries {
		j.addProblem(j.problemNode("retry"), "%s.retry: %d, but class %s allows %d", j.jobName, j.job.Retries, spec.Class, limits.MaxRetries)
	}
	if limits.ExceededByTasks(spec) {
		j.addProblem(j.problemNode("cluster", "tasks"), "%s.cluster.tasks: %d, but class %s allows %d", j.jobName, spec.Tasks, spec.Class, limits.MaxTasks)
	}
	if limits.ExceededByRunTime(spec) {
		j.addProblem(j.problemNode("cluster", "estimate_s"), "%s.cluster.estimate_s: %g, but class %s allows %g", j.jobName, spec.EstimatedRunSeconds, spec.Class, limits.MaxRunSeconds)
	}
}
