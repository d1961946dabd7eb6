// Package jobs holds the durable records of jobs: what users submit, which
// tasks are claimed and done, and the final states.
package jobs

import (
	"encoding/json"
	"fmt"
	"math"
	"math/bits"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"cherrywall/internal/capacity"
)

// Kinds of jobs, as the protocol names them.
const (
	Array   = "sweep"
	Gang    = "group"
	Service = "daemon"
)

// States of a job, as users see them.
const (
	Queued    = "queued"
	Running   = "running"
	Done      = "done"
	Cancelled = "aborted"
)

// FinalState is how a job ended: done or cancelled, and how many of its tasks are done.
type FinalState struct {
	Status string
	Tasks  int // 0 in records that were written before they told it
}

type finalStateJSON struct {
	Status string `json:"s"`
	Tasks  int    `json:"n"`
}

// MarshalJSON writes the record.
func (f FinalState) MarshalJSON() ([]byte, error) { return json.Marshal(finalStateJSON(f)) }

// UnmarshalJSON reads it, also in its earlier form: the status alone.
func (f *FinalState) UnmarshalJSON(raw []byte) error {
	if json.Unmarshal(raw, &f.Status) == nil {
		return nil
	}
	var x finalStateJSON
	if err := json.Unmarshal(raw, &x); err != nil {
		return fmt.Errorf("final state: %w", err)
	}
	*f = FinalState(x)
	return nil
}

// BatchEntry names a job that is done in a pack of them, with its number of tasks.
func BatchEntry(ref string, tasks int) string { return TaskName(ref, tasks) }

// ParseBatchEntry reads it, also in its earlier form: the id alone.
func ParseBatchEntry(name string) (ref string, tasks int) {
	if ref, n, ok := ParseTask(name); ok {
		return ref, n
	}
	return name, 0
}

// Priorities from the least to the most urgent.
var priorityNames = [PriorityCount]string{"idle", "normal", "high", "prod"}

// PriorityCount is how many there are.
const PriorityCount = 4

// Priority is a job's rank; a larger one goes first.
type Priority int

// Spec is what a user submits.
type Spec struct {
	Ref                       string   `json:"ref"`
	Class                     string   `json:"lot"`
	Team                      string   `json:"crew"`
	Kind                      string   `json:"shape"`
	Urgency                   string   `json:"urgency"`
	Tasks                     int      `json:"shifts"`
	CPU                       float64  `json:"vcpus"`
	GPU                       float64  `json:"cards"`
	MemGB                     float64  `json:"ramGb"`
	MachineTypes              []string `json:"builds"`
	Zone                      *string  `json:"valley"`
	OneZone                   bool     `json:"oneZone"`
	Spread                    bool     `json:"spread"`
	Spot                      bool     `json:"loaners"`
	Image                     string   `json:"kit"`
	ImageGB                   float64  `json:"imageGb"`
	EstimatedRunSeconds       float64  `json:"guessS"`
	CheckpointIntervalSeconds float64  `json:"waypointS"`
	CheckpointSaveSeconds     float64  `json:"stashS"`
	DeadlineSeconds           *float64 `json:"dueS"`
	// DependsOn are jobs that have to be done before any task of this one starts, each once.
	DependsOn []string `json:"awaits,omitempty"`
}

// Priority ranks the job.
func (s *Spec) Priority() Priority { return Priority(slices.Index(priorityNames[:], s.Urgency)) }

// PriorityName is a rank as the protocol names it.
func PriorityName(p Priority) string { return priorityNames[p] }

// Need is what each task takes of its machine.
func (s *Spec) Need() capacity.Resources {
	return capacity.Resources{CPU: s.CPU, GPU: s.GPU, MemGB: s.MemGB}
}

// Allows tells whether it may run on a group of machines at all.
func (s *Spec) Allows(g capacity.Group) bool {
	return (s.Spot || !g.Spot) && (s.Zone == nil || *s.Zone == g.Zone) &&
		(s.MachineTypes == nil || slices.Contains(s.MachineTypes, g.MachineType))
}

// ClassLimits is what a job of a class may ask for at most: retries in a pipeline file, tasks,
// and an expected run time of a task in seconds. No tasks or seconds is no limit of them.
type ClassLimits struct {
	MaxRetries    int     `json:"retries"`
	MaxTasks      int     `json:"tasks"`
	MaxRunSeconds float64 `json:"run_s"`
}

// Exceeded tells in what a job asks for more.
func (l ClassLimits) Exceeded(s *Spec) (tasks, runs bool) {
	return l.MaxTasks > 0 && s.Tasks > l.MaxTasks, l.MaxRunSeconds > 0 && s.EstimatedRunSeconds > l.MaxRunSeconds
}

// HighestPriority is the rank of the most urgent jobs.
func HighestPriority() Priority { return PriorityCount - 1 }

// MaxTasks is the protocol's bound on the tasks of a job.
const MaxTasks = 100_000

var refPattern = regexp.MustCompile(`^[a-z]{1,16}-[0-9]{1,18}$`)

// ValidRef tells whether a job id has the protocol's form.
func ValidRef(ref string) bool { return refPattern.MatchString(ref) }

// NumberedRef is an id of a prefix and a large number, in the protocol's form.
func NumberedRef(prefix string, n uint64) string {
	return fmt.Sprintf("%s-%018d", prefix, n%1_000_000_000_000_000_000)
}

// requiredFields and optional are the fields of a submission by their names, to the letter: any other is
// ignored, "Shifts" too.
var requiredFields = []string{"ref", "lot", "crew", "shape", "urgency", "shifts", "vcpus", "cards", "ramGb",
	"kit", "imageGb", "oneZone", "spread", "loaners", "guessS", "waypointS", "stashS"}

var optionalFields = []string{"builds", "valley", "dueS", "awaits"}

// ParseRef finds the id in a body that may be wrong otherwise: a repeated
// submission of an accepted job is answered 200 whatever its body says now.
func ParseRef(body []byte) (string, bool) {
	var fields map[string]json.RawMessage
	var ref string
	if json.Unmarshal(body, &fields) != nil || json.Unmarshal(fields["ref"], &ref) != nil {
		return "", false
	}
	return ref, ValidRef(ref)
}

// ParseSpec reads and checks a submission; an error names the field.
func ParseSpec(body []byte) (*Spec, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return nil, fmt.Errorf("body: not a JSON object")
	}
	known := map[string]json.RawMessage{}
	for _, name := range requiredFields {
		if raw, ok := fields[name]; !ok || string(raw) == "null" {
			return nil, fmt.Errorf("%s: missing", name)
		}
		known[name] = fields[name]
	}
	for _, name := range optionalFields {
		if raw, ok := fields[name]; ok {
			known[name] = raw
		}
	}
	raw, err := json.Marshal(known)
	if err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	var s Spec
	if err := json.Unmarshal(raw, &s); err != nil {
		if typeError, ok := err.(*json.UnmarshalTypeError); ok && typeError.Field != "" {
			return nil, fmt.Errorf("%s: wrong type %s", typeError.Field, typeError.Value)
		}
		return nil, fmt.Errorf("body: %w", err)
	}
	if err := s.validate(); err != nil {
		return &s, err
	}
	s.DependsOn = withoutDuplicates(s.DependsOn)
	return &s, nil
}

// withoutDuplicates leaves out names that were given before.
func withoutDuplicates(names []string) []string {
	seen := make(map[string]bool, len(names))
	return slices.DeleteFunc(names, func(n string) bool {
		twice := seen[n]
		seen[n] = true
		return twice
	})
}

func (s *Spec) validate() error {
	switch {
	case !ValidRef(s.Ref):
		return fmt.Errorf("ref: bad form")
	case s.Class == "":
		return fmt.Errorf("lot: empty")
	case s.Team == "":
		return fmt.Errorf("crew: empty")
	case s.Kind != Array && s.Kind != Gang && s.Kind != Service:
		return fmt.Errorf("shape: unknown %q", s.Kind)
	case s.Priority() < 0:
		return fmt.Errorf("urgency: unknown %q", s.Urgency)
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return fmt.Errorf("shifts: must be 1 to %d", MaxTasks)
	case s.Image == "":
		return fmt.Errorf("kit: empty")
	case s.MachineTypes != nil && (len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, "")):
		return fmt.Errorf("builds: empty, or an empty name")
	case s.Zone != nil && *s.Zone == "":
		return fmt.Errorf("valley: empty")
	case s.DeadlineSeconds != nil && !(*s.DeadlineSeconds > 0 && !math.IsInf(*s.DeadlineSeconds, 0)):
		return fmt.Errorf("dueS: must be above 0")
	}
	for _, a := range []struct {
		field string
		v     float64
	}{{"vcpus", s.CPU}, {"cards", s.GPU}, {"ramGb", s.MemGB}, {"imageGb", s.ImageGB},
		{"guessS", s.EstimatedRunSeconds}, {"waypointS", s.CheckpointIntervalSeconds}, {"stashS", s.CheckpointSaveSeconds}} {
		if !(a.v >= 0) || math.IsInf(a.v, 0) {
			return fmt.Errorf("%s: must be a number not below 0", a.field)
		}
	}
	for i, ref := range s.DependsOn {
		switch {
		case !ValidRef(ref):
			return fmt.Errorf("awaits[%d]: not a job id", i)
		case ref == s.Ref:
			return fmt.Errorf("awaits[%d]: a job can't wait for itself", i)
		}
	}
	if s.CPU == 0 && s.GPU == 0 && s.MemGB == 0 {
		return fmt.Errorf("vcpus: a task must take something")
	}
	return nil
}

// TaskName is a task's name in commands and reports.
func TaskName(ref string, i int) string { return ref + "/" + strconv.Itoa(i) }

// ParseTask splits a task's name.
func ParseTask(name string) (ref string, i int, ok bool) {
	ref, num, found := strings.Cut(name, "/")
	if !found {
		return "", 0, false
	}
	i, err := strconv.Atoi(num)
	return ref, i, err == nil && i >= 0
}

// TaskInterval is a run of tasks: First and how many.
type TaskInterval struct {
	First int `json:"f"`
	Count int `json:"n"`
}

// JobRecord is the durable state of an unfinished job.
type JobRecord struct {
	Spec
	// AcceptedAtMS is the time of day (Unix ms) of the acceptance: the order of
	// arrival.
	AcceptedAtMS int64 `json:"at"`
	// AcceptedBy is the controller that accepted the job.
	AcceptedBy string `json:"by"`
	// Unclaimed are the tasks that no share has claimed.
	Unclaimed []TaskInterval `json:"free"`
	// Completed counts the tasks of ranges that were completed and dropped: a
	// job may be claimed in more ranges than one transaction can name.
	Completed int `json:"d,omitempty"`
	// WholeClaim is the claim of the whole job by one share; Free is empty then. Small
	// jobs are claimed so, which costs no record of a range.
	WholeClaim *WholeJobClaim `json:"own,omitempty"`
	// ExcludedFromBatches says that the end of the job is written to its own record only, never
	// to a pack: somebody is cancelling it.
	ExcludedFromBatches bool `json:"sole,omitempty"`
	// DependenciesDoneAtMS is the time of day (Unix ms) at which the last job was done that this one
	// had waited for; it is written when Awaits goes, with the first claim.
	DependenciesDoneAtMS int64 `json:"rd,omitempty"`
	// ClaimedPerZone counts claimed tasks by zone for jobs with spread, whose ranges
	// are bound to a zone so that shares need not know each other's tasks.
	ClaimedPerZone map[string]int `json:"pz,omitempty"`
}

// Validate tells what is impossible in a record: it was damaged, or is of a program that this
// one can't follow. Of what it says nothing may be done then.
func (r *JobRecord) Validate() error {
	if r.Tasks < 1 || r.Tasks > MaxTasks {
		return fmt.Errorf("shifts: %d", r.Tasks)
	}
	if r.Kind != Array && r.Kind != Gang && r.Kind != Service {
		return fmt.Errorf("shape: unknown %q", r.Kind)
	}
	end := 0
	for i, s := range r.Unclaimed {
		if s.First < end || s.Count < 1 || s.Count > r.Tasks-s.First {
			return fmt.Errorf("free[%d]: %d tasks from %d on, of %d", i, s.Count, s.First, r.Tasks)
		}
		end = s.First + s.Count
	}
	switch {
	case r.Completed < 0 || r.Completed > r.Tasks:
		return fmt.Errorf("d: %d of %d tasks", r.Completed, r.Tasks)
	case r.WholeClaim != nil && (r.WholeClaim.Shard == "" || r.WholeClaim.Count < 1 || r.WholeClaim.Count > r.Tasks):
		return fmt.Errorf("own: %d of %d tasks, for %q", r.WholeClaim.Count, r.Tasks, r.WholeClaim.Shard)
	}
	return nil
}

// Validate tells what is impossible in the record of a range that begins with a task.
func (r *RangeRecord) Validate(first int) error {
	switch {
	case r.Shard == "":
		return fmt.Errorf("share: missing")
	case first < 0 || r.Count < 1 || r.Count > MaxTasks-first:
		return fmt.Errorf("n: %d tasks from %d on", r.Count, first)
	}
	return nil
}

// WholeJobClaim is a share's claim of a whole job.
type WholeJobClaim struct {
	Shard string `json:"share"`
	// Epoch is the stamp of the share's record under which it was claimed.
	Epoch uint64 `json:"tenure"`
	Count int    `json:"n"`
}

// WithDependenciesDone is the record of a job that waits for no other any more, since a time.
func (r JobRecord) WithDependenciesDone(since time.Time) JobRecord {
	if len(r.DependsOn) > 0 {
		r.DependsOn, r.DependenciesDoneAtMS = nil, since.UnixMilli()
	}
	return r
}

// RunnableSinceMS is the time of day (Unix ms) from which on the job could have run, as far as its
// record tells: that of its acceptance, or when the last job was done that it waited for.
func (r *JobRecord) RunnableSinceMS() int64 { return max(r.AcceptedAtMS, r.DependenciesDoneAtMS) }

// UnclaimedCount is how many tasks are unclaimed.
func (r *JobRecord) UnclaimedCount() int {
	n := 0
	for _, s := range r.Unclaimed {
		n += s.Count
	}
	return n
}

// TakeUnclaimed removes up to k tasks from the first free span.
func TakeUnclaimed(free []TaskInterval, k int) (TaskInterval, []TaskInterval) {
	s := free[0]
	if k >= s.Count {
		return s, slices.Clone(free[1:])
	}
	rest := slices.Clone(free)
	rest[0] = TaskInterval{First: s.First + k, Count: s.Count - k}
	return TaskInterval{First: s.First, Count: k}, rest
}

// ReturnUnclaimed returns a span to the free ones, in order and joined.
func ReturnUnclaimed(free []TaskInterval, s TaskInterval) []TaskInterval {
	all := append(slices.Clone(free), s)
	slices.SortFunc(all, func(a, b TaskInterval) int { return a.First - b.First })
	out := all[:1]
	for _, x := range all[1:] {
		last := &out[len(out)-1]
		if last.First+last.Count == x.First {
			last.Count += x.Count
		} else {
			out = append(out, x)
		}
	}
	return out
}

// RangeRecord is the durable state of a claimed run of tasks. It starts at the
// number in its key.
type RangeRecord struct {
	Shard string `json:"share"`
	Count int    `json:"n"`
	Done  Bitmap `json:"done,omitempty"`
	// Zone binds the tasks of a job with spread.
	Zone string `json:"zone,omitempty"`
	// GangWorkers is the mark of a gang: the only workers to which its tasks may have been ordered
	// (docs/recovery.md, "Marks"). None: any worker of the share.
	GangWorkers []string `json:"on,omitempty"`
}

// Bitmap marks tasks by their place in the range.
type Bitmap []byte

// Has tells whether i is marked.
func (b Bitmap) Has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// With returns a copy in which the given places are marked too.
func (b Bitmap) With(places ...int) Bitmap {
	out := slices.Clone(b)
	for _, i := range places {
		for i/8 >= len(out) {
			out = append(out, 0)
		}
		out[i/8] |= 1 << (i % 8)
	}
	return out
}

// Count is the number of marks among the first n.
func (b Bitmap) Count(n int) int {
	c := 0
	for k, x := range b {
		if over := 8*(k+1) - n; over > 0 { // marks at n and above do not count
			x &= byte(0xff) >> min(over, 8)
		}
		c += bits.OnesCount8(x)
	}
	return c
}

// Keys in the state service.
const (
	Prefix          = "cw/"
	JobPrefix       = "cw/job/"
	RangePrefix     = "cw/work/"
	FinalPrefix     = "cw/final/"
	WorkerPrefix    = "cw/worker/"
	ShardPrefix     = "cw/share/"
	LivenessPrefix  = "cw/live/"
	SettingsKey     = "cw/settings"
	MachineTypesKey = "cw/types"
	// BootsKey: the boot times that were learned, by machine type.
	BootTimesKey = "cw/boots"
	// PackPrefix: cw/pack/<share>/<n> lists small jobs that are done, whose own
	// records may not say so yet.
	CompletionBatchPrefix = "cw/pack/"
	// QuotaPrefix: cw/portion/<team in hex> is how a team's limit is split among shares.
	QuotaPrefix = "cw/portion/"
	// VersionPrefix: cw/version/<node> says what program a controller runs, see gate.
	VersionPrefix = "cw/version/"
	// ChunkPrefix is for the parts of records that are too large for one value, see parts.
	ChunkPrefix = "cw/part/"
	// OpaquePrefix is for records that the core only passes on. They are under Prefix all
	// the same: a watch of one prefix hears nothing of revisions that others made, and
	// whoever waited for the copy to be current waited for ten seconds.
	OpaquePrefix = "cw/x/"
)

// JobKey, RangeKey and FinalKey name the records of a job.
func JobKey(ref string) string              { return JobPrefix + ref }
func RangeKey(ref string, first int) string { return RangePrefix + ref + "/" + strconv.Itoa(first) }
func FinalKey(ref string) string            { return FinalPrefix + ref }
