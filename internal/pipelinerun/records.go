package pipelinerun

import (
	"encoding/hex"
	"regexp"
	"strconv"

	"cherrywall/internal/jobs"
	"cherrywall/internal/pipelineexec"

	"github.com/cespare/xxhash/v2"
)

// What is kept in the state service, apart from the core's records.
const (
	prefix      = jobs.OpaquePrefix
	runPrefix   = prefix + "run/"
	planPrefix  = prefix + "plan/"
	finalPrefix = prefix + "final/"
	groupPrefix = prefix + "group/"
)

func runKey(id string) string         { return runPrefix + id }
func finalKey(id string) string       { return finalPrefix + id }
func planKey(id string, k int) string { return planPrefix + id + "/" + strconv.Itoa(k) }
func groupKey(name string) string     { return groupPrefix + hex.EncodeToString([]byte(name)) }

var runIDPattern = regexp.MustCompile(`^run-[0-9]{1,18}$`)

// ValidID tells whether a run's id has its form.
func ValidID(id string) bool { return runIDPattern.MatchString(id) }

// runRecord is a run's record, unfinished or final.
type runRecord struct {
	Name         string `json:"name"`
	Digest       string `json:"digest"` // of the file: a repeated request has the same
	AcceptedAtMS int64  `json:"at"`     // Unix ms of its acceptance
	// Plan is the packed plan, or its beginning: Parts are how many further records
	// hold the rest. A plan is kept as it was understood, so that another version of
	// the program goes on with the same.
	Plan         []byte                `json:"plan"`
	PlanChunks   int                   `json:"parts,omitempty"`
	PlanChunksID string                `json:"plan_id,omitempty"` // whose parts they are: its own, or a schedule's
	Progress     pipelineexec.Progress `json:"p"`
	CancelMode   string                `json:"cancel,omitempty"`
	// HomeShard is the share whose holder leads the run, and Tenure the stamp of that
	// share's record under which this was last written by a leader, or accepted by one.
	HomeShard string `json:"home"`
	Epoch     uint64 `json:"tenure,omitempty"`
	// Status and EndMS are set when it is over.
	Status    string `json:"status,omitempty"`
	EndedAtMS int64  `json:"end,omitempty"`
}

// groupOwner is who holds a resource group.
type groupOwner struct {
	Run string `json:"run"`
	Job int    `json:"job"`
}

func fileDigest(file []byte) string { return strconv.FormatUint(xxhash.Sum64(file), 16) }
