package pipeline

import (
	"go.yaml.in/yaml/v3"
)

// The types below define the keys of a file. The published JSON schema of files is generated from these
// types, so their tags and descriptions are visible to users. Types of keys that have several forms
// implement yaml.Unmarshaler.

// file holds the top-level keys of a file that are not jobs. Every other top-level key is a job.
type file struct {
	Stages    []string          `json:"stages,omitempty" jsonschema:"description=Stages in order; without it: build and test and deploy."`
	Default   *defaults         `json:"default,omitempty" jsonschema:"description=What holds for each job that does not say otherwise."`
	Variables map[string]scalar `json:"variables,omitempty" jsonschema:"description=Values for $NAME in the jobs."`
}

// defaults holds the keys that the "default" key may set for all jobs.
type defaults struct {
	Image         image    `json:"image,omitempty"`
	Interruptible bool     `json:"interruptible,omitempty"`
	Retry         retry    `json:"retry,omitempty"`
	Timeout       duration `json:"timeout,omitempty"`
	Cluster       cluster  `json:"cluster,omitempty"`
}

// jobKeys holds the keys of a job.
type jobKeys struct {
	Stage         string            `json:"stage,omitempty" jsonschema:"description=One of the stages; test if left out."`
	Needs         needs             `json:"needs,omitempty" jsonschema:"description=Jobs that have to end first whatever their stages; without it all of the earlier stages."`
	Extends       oneOrMore         `json:"extends,omitempty" jsonschema:"description=Jobs whose keys this one takes over."`
	Variables     map[string]scalar `json:"variables,omitempty"`
	Parallel      parallel          `json:"parallel,omitempty" jsonschema:"description=So many copies or one for each combination of a matrix."`
	Retry         retry             `json:"retry,omitempty" jsonschema:"description=How often it is tried again after a failure."`
	Timeout       duration          `json:"timeout,omitempty" jsonschema:"description=Time from its submission after which a try has failed such as 1h 30m."`
	When          string            `json:"when,omitempty" jsonschema:"enum=on_success,enum=on_failure,enum=always,enum=manual,enum=delayed"`
	StartIn       duration          `json:"start_in,omitempty" jsonschema:"description=For when: delayed."`
	AllowFailure  allowFailure      `json:"allow_failure,omitempty" jsonschema:"description=Whether the run goes on as if it had succeeded."`
	ResourceGroup string            `json:"resource_group,omitempty" jsonschema:"description=Of all jobs of a group in all runs one is under way at a time."`
	Interruptible bool              `json:"interruptible,omitempty" jsonschema:"description=Whether it is stopped when the run is stopped in order; others end first."`
	Image         image             `json:"image,omitempty" jsonschema:"description=The same as cluster.image."`
	Cluster       cluster           `json:"cluster,omitempty" jsonschema:"description=What the job is for the cluster."`
}

// cluster holds the keys below the "cluster" key of a job, which is an extension of the GitLab format.
type cluster struct {
	Class       string   `json:"class,omitempty" jsonschema:"description=Class of jobs; limits and aims belong to it."`
	Team        string   `json:"team,omitempty" jsonschema:"description=Team whose guarantee and limit apply."`
	Kind        string   `json:"kind,omitempty" jsonschema:"enum=array,enum=gang,description=array: independent tasks; gang: all run at the same time."`
	Priority    string   `json:"priority,omitempty" jsonschema:"enum=idle,enum=normal,enum=high,enum=prod"`
	Tasks       int      `json:"tasks,omitempty" jsonschema:"minimum=1,maximum=100000"`
	CPUs        float64  `json:"cpus,omitempty" jsonschema:"minimum=0"`
	GPUs        float64  `json:"gpus,omitempty" jsonschema:"minimum=0"`
	MemoryGB    float64  `json:"memory_gb,omitempty" jsonschema:"minimum=0"`
	Image       string   `json:"image,omitempty"`
	ImageGB     float64  `json:"image_gb,omitempty" jsonschema:"minimum=0"`
	Types       []string `json:"types,omitempty" jsonschema:"description=Machine types; any if left out."`
	Zone        string   `json:"zone,omitempty" jsonschema:"description=The only zone; any if left out."`
	OneZone     bool     `json:"one_zone,omitempty" jsonschema:"description=All tasks in the same zone."`
	Spread      bool     `json:"spread,omitempty" jsonschema:"description=At most half of the tasks in one zone."`
	Spot        bool     `json:"spot,omitempty" jsonschema:"description=Cheap machines that may be taken back are allowed."`
	EstimateS   float64  `json:"estimate_s,omitempty" jsonschema:"minimum=0,description=Expected run time of a task in seconds."`
	CheckpointS float64  `json:"checkpoint_s,omitempty" jsonschema:"minimum=0,description=Progress in seconds after which a task saves; 0: never."`
	SaveS       float64  `json:"save_s,omitempty" jsonschema:"minimum=0,description=Seconds a task needs to save when it is stopped."`
	DeadlineS   float64  `json:"deadline_s,omitempty" jsonschema:"minimum=0,description=Seconds from its submission in which it should be done."`
}

// scalar is the text of a string, number or boolean. It may also be written as a mapping with the key "value".
type scalar string

func (s *scalar) UnmarshalYAML(node *yaml.Node) error {
	switch node.Kind {
	case yaml.ScalarNode:
		*s = scalar(node.Value)
		return nil
	case yaml.MappingNode: // has the key "value", and may have a description for human readers
		if value := valueOf(node, "value"); value != nil {
			return s.UnmarshalYAML(value)
		}
	}
	return newPositionError(node, "must be a string, a number, true or false")
}

// oneOrMore is a list of strings. A single string may be written without a list.
type oneOrMore []string

func (o *oneOrMore) UnmarshalYAML(node *yaml.Node) error {
	if node.Kind == yaml.ScalarNode {
		*o = oneOrMore{node.Value}
		return nil
	}
	var list []string
	if node.Kind != yaml.SequenceNode || node.Decode(&list) != nil {
		return newPositionError(node, "must be a name or a list of names")
	}
	*o = list
	return nil
}

// image is the name of an image, written as a string or as a mapping with the key "name".
type image string

func (i *image) UnmarshalYAML(node *yaml.Node) error {
	switch node.Kind {
	case yaml.ScalarNode:
		*i = image(node.Value)
		return nil
	case yaml.MappingNode:
		for k := 0; k+1 < len(node.Content); k += 2 {
			if value := node.Content[k+1]; node.Content[k].Value == "name" && value.Kind == yaml.ScalarNode {
				*i = image(value.Value)
				return nil
			}
		}
	}
	return newPositionError(node, "must be a name, or a mapping with name")
}

// retry defines how often a job is retried, and after which causes of failure. It may also be written as a
// single number, the value of Max.
type retry struct {
	node *yaml.Node // where problems are reported
	Max  int        `json:"max"`
	When oneOrMore  `json:"when,omitempty"`
}

func (r *retry) UnmarshalYAML(node *yaml.Node) error {
	r.node = node
	switch node.Kind {
	case yaml.ScalarNode:
		if node.Decode(&r.Max) != nil || r.Max < 0 {
			return newPositionError(node, "must be a whole number not below 0, or a mapping with max and when")
		}
		return nil
	case yaml.MappingNode:
		return forEachKey(node, r.decodeKey)
	}
	return newPositionError(node, "must be a whole number, or a mapping with max and when")
}

func (r *retry) decodeKey(key string, value *yaml.Node) error {
	switch key {
	case "max":
		if value.Kind != yaml.ScalarNode || value.Decode(&r.Max) != nil || r.Max < 0 {
			return newPositionError(value, "must be a whole number not below 0")
		}
		return nil
	case "when":
		return value.Decode(&r.When)
	case "exit_codes":
		return nil // ignored, since tasks have no exit codes in cherrywall; compileRetry adds a notice
	}
	return newPositionError(value, "unknown; max and when are known")
}

// parallel defines the copies of a job, as a number or as a matrix of variables.
type parallel struct {
	N            int                    `json:"n,omitempty"`
	Matrix       []map[string]oneOrMore `json:"matrix,omitempty"`
	rowVariables [][]string             // the variables of each row of the matrix, in the order of the file
}

func (p *parallel) UnmarshalYAML(node *yaml.Node) error {
	const wrongForm = "must be 1 to 200, or a mapping with matrix"
	switch node.Kind {
	case yaml.ScalarNode:
		if node.Decode(&p.N) != nil || p.N < 1 || p.N > maxParallel {
			return newPositionError(node, wrongForm)
		}
		return nil
	case yaml.MappingNode:
		return forEachKey(node, p.decodeKey)
	}
	return newPositionError(node, wrongForm)
}

func (p *parallel) decodeKey(key string, value *yaml.Node) error {
	if key != "matrix" || value.Kind != yaml.SequenceNode {
		return newPositionError(value, "only the key matrix is supported, with a list of mappings")
	}
	for _, row := range value.Content {
		if err := p.decodeRow(row); err != nil {
			return err
		}
	}
	return nil
}

// decodeRow decodes a row of the matrix: variables with their values.
func (p *parallel) decodeRow(row *yaml.Node) error {
	if row.Kind != yaml.MappingNode {
		return newPositionError(row, "must be a mapping of variables to values")
	}
	variables, keys := map[string]oneOrMore{}, []string{}
	err := forEachKey(row, func(name string, values *yaml.Node) error {
		var list oneOrMore
		if err := values.Decode(&list); err != nil {
			return err
		}
		variables[name], keys = list, append(keys, name)
		return nil
	})
	if err != nil {
		return err
	}
	p.Matrix, p.rowVariables = append(p.Matrix, variables), append(p.rowVariables, keys)
	return nil
}

// need is one entry of the "needs" key: the name of a job that has to end first.
type need struct {
	node     *yaml.Node // where problems are reported
	Job      string     `json:"job"`
	Optional bool       `json:"optional,omitempty"`
}

// needs is the list of jobs that have to end first. Nil means all jobs of the earlier stages; an empty list
// means that the job waits for no other job.
type needs []need

func (l *needs) UnmarshalYAML(node *yaml.Node) error {
	if node.Kind != yaml.SequenceNode {
		return newPositionError(node, "must be a list of jobs")
	}
	*l = needs{}
	for _, item := range node.Content {
		item = resolveAlias(item)
		entry := need{node: item}
		switch item.Kind {
		case yaml.ScalarNode:
			entry.Job = item.Value
		case yaml.MappingNode:
			if err := forEachKey(item, entry.decodeKey); err != nil {
				return err
			}
		}
		if entry.Job == "" {
			return newPositionError(item, "must be the name of a job, or a mapping with job")
		}
		*l = append(*l, entry)
	}
	return nil
}

func (n *need) decodeKey(key string, value *yaml.Node) error {
	switch key {
	case "job":
		return value.Decode(&n.Job)
	case "optional":
		return value.Decode(&n.Optional)
	case "artifacts":
		return nil // ignored; resolveNeeds adds a notice
	}
	return newPositionError(value, key+": unknown key; job and optional are known")
}

// allowFailure is true, false, or a mapping with exit codes. A mapping counts as false.
type allowFailure struct{ isSet, isAllowed bool }

func (a *allowFailure) UnmarshalYAML(node *yaml.Node) error {
	a.isSet = true
	if node.Kind == yaml.MappingNode { // the exit codes are ignored; compileAllowFailure adds a notice
		return nil
	}
	if node.Decode(&a.isAllowed) != nil {
		return newPositionError(node, "must be true or false")
	}
	return nil
}
