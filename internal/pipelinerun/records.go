package pipelinerun

import (
	"encoding/hex"
	"regexp"
	"strconv"

	"cherrywall/internal/jobs"
	"cherrywall/internal/pipelineexec"

	"github.com/cespare/xxhash/v2"
)

// Prefixes of the records' keys in the key-value store. The controller passes changes of these
// records on to the leader without decoding them.
const (
	keyPrefix      = jobs.OpaquePrefix
	runPrefix      = keyPrefix + "run/"
	planPrefix     = keyPrefix + "plan/"
	finalPrefix    = keyPrefix + "final/"
	groupPrefix    = keyPrefix + "group/"
	schedulePrefix = keyPrefix + "sched/"
)

func runKey(id string) string        { return runPrefix + id }
func finalKey(id string) string      { return finalPrefix + id }
func groupKey(name string) string    { return groupPrefix + hex.EncodeToString([]byte(name)) }
func scheduleKey(name string) string { return schedulePrefix + hex.EncodeToString([]byte(name)) }

// planKey returns the key of a chunk of a plan.
func planKey(chunksID string, number int) string {
	return planPrefix + chunksID + "/" + strconv.Itoa(number)
}

var (
	runIDPattern        = regexp.MustCompile(`^run-[0-9]{1,18}$`)
	scheduleNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
)

// IsValidID reports whether a run's id has the required form: "run-" and up to 18 digits.
func IsValidID(id string) bool { return runIDPattern.MatchString(id) }

// runRecord is the record of an unfinished or finished run.
type runRecord struct {
	Name         string `json:"name"`
	Digest       string `json:"digest"` // digest of the file, by which a repeated request is recognised
	AcceptedAtMS int64  `json:"at"`     // Unix ms
	// Plan is the compressed plan or, if it does not fit into this record, the beginning of it; the
	// rest is in PlanChunks further records. The parsed plan is stored instead of the file, so that a
	// version of the program that parses files differently continues the run with the same plan.
	Plan         []byte                  `json:"plan"`
	PlanChunks   int                     `json:"parts,omitempty"`
	PlanChunksID string                  `json:"plan_id,omitempty"` // unique part of the keys of the chunks; begins with the id of the run or schedule
	Progress     pipelineexec.Progress   `json:"p"`
	CancelMode   pipelineexec.CancelMode `json:"cancel,omitempty"`
	// HomeShard is the shard whose owner leads the run. Epoch is the shard's epoch in which its
	// owner last wrote this record. If the run was accepted by a controller that does not own the
	// shard, Epoch is 0 until the owner writes the record.
	HomeShard string `json:"home"`
	Epoch     uint64 `json:"tenure,omitempty"`
	// Status and EndedAtMS (Unix ms) are set when the run has finished.
	Status    pipelineexec.RunStatus `json:"status,omitempty"`
	EndedAtMS int64                  `json:"end,omitempty"`
}

// groupOwner is the record of a resource group: the job that owns it.
type groupOwner struct {
	Run string `json:"run"`
	Job int    `json:"job"`
}

// scheduleRecord is a schedule's record.
type scheduleRecord struct {
	Name     string `json:"name"`
	Cron     string `json:"cron"`
	Zone     string `json:"zone"`
	NextAtMS int64  `json:"next"` // Unix ms
	LastRun  string `json:"last,omitempty"`
	// Template is the first record of each run of the schedule.
	Template runRecord `json:"begin"`
}

func fileDigest(file []byte) string { return strconv.FormatUint(xxhash.Sum64(file), 16) }
