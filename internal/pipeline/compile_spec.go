package pipeline

import (
	"fmt"

	"cherrywall/internal/jobs"
)

// jobKinds are the kinds of jobs by their names in files. Services are not among them: they never
// end.
var jobKinds = map[string]jobs.Kind{"": jobs.Array, "array": jobs.Array, "gang": jobs.Gang}

// compileSpec makes the spec that is submitted, and checks it against the limits of its class and
// the cluster.
func (j *jobCompiler) compileSpec() {
	keys, spec := &j.keys.Cluster, &j.job.Spec
	*spec = newSpec(&j.keys)
	kind, known := jobKinds[keys.Kind]
	if !known {
		j.addProblem(j.at("cluster", "kind"), "%s.cluster.kind: must be array or gang; a service never ends", j.base)
		return
	}
	spec.Kind = kind
	before := len(j.problems)
	j.checkFields(spec, keys.DeadlineS)
	if len(j.problems) > before {
		return
	}
	if j.limits != nil {
		j.checkClassLimits()
	}
	if j.validate == nil || len(j.problems) > before {
		return
	}
	if err := j.validate(spec); err != nil {
		j.addProblem(j.at("cluster"), "%s.cluster: %v", j.base, err)
	}
}

// newSpec makes a spec from a job's keys, with defaults for what is left out. The kind is not set.
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
	const negative = "must not be below 0"
	for _, field := range []struct {
		key   string
		wrong bool
		text  string
	}{
		{"class", spec.Class == "", "missing; the class of jobs it belongs to"},
		{"team", spec.Team == "", "missing; the team it runs for"},
		{"image", spec.Image == "", "missing; the image its tasks run"},
		{"priority", spec.Priority() < 0, "must be idle, normal, high or prod"},
		{"tasks", spec.Tasks < 1 || spec.Tasks > jobs.MaxTasks, fmt.Sprintf("must be 1 to %d", jobs.MaxTasks)},
		{"types", spec.MachineTypes != nil && len(spec.MachineTypes) == 0, "must name a type, or be left out for any"},
		{"cpus", !isAmount(spec.CPU), negative},
		{"gpus", !isAmount(spec.GPU), negative},
		{"memory_gb", !isAmount(spec.MemGB), negative},
		{"image_gb", !isAmount(spec.ImageGB), negative},
		{"estimate_s", !isAmount(spec.EstimatedRunSeconds), negative},
		{"checkpoint_s", !isAmount(spec.CheckpointIntervalSeconds), negative},
		{"save_s", !isAmount(spec.CheckpointSaveSeconds), negative},
		{"deadline_s", !isAmount(deadlineSeconds), "must be above 0"},
		{"cpus", spec.CPU == 0 && spec.GPU == 0 && spec.MemGB == 0, "missing; a task must take some cpus, gpus or memory_gb"},
	} {
		if field.wrong {
			j.addProblem(j.at("cluster", field.key), "%s.cluster.%s: %s", j.base, field.key, field.text)
		}
	}
}

// isAmount reports whether a number is 0 or above. It is false for NaN, which a comparison with < 0
// would accept.
func isAmount(number float64) bool { return number >= 0 }

// checkClassLimits checks a job against the operators' limits of its class.
func (j *jobCompiler) checkClassLimits() {
	spec := &j.job.Spec
	limits, limited := j.limits(spec.Class)
	if !limited {
		return
	}
	if j.job.Retries > limits.MaxRetries {
		j.addProblem(j.at("retry"), "%s.retry: %d, but class %s allows %d", j.base, j.job.Retries, spec.Class, limits.MaxRetries)
	}
	if limits.ExceededByTasks(spec) {
		j.addProblem(j.at("cluster", "tasks"), "%s.cluster.tasks: %d, but class %s allows %d", j.base, spec.Tasks, spec.Class, limits.MaxTasks)
	}
	if limits.ExceededByRunTime(spec) {
		j.addProblem(j.at("cluster", "estimate_s"), "%s.cluster.estimate_s: %g, but class %s allows %g", j.base, spec.EstimatedRunSeconds, spec.Class, limits.MaxRunSeconds)
	}
}
