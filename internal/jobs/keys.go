package jobs

import (
	"strconv"
	"strings"
)

// Keys in the key-value store.
const (
	// Prefix is the common prefix of all keys, which a controller watches.
	Prefix = "cw/"
	// JobPrefix: cw/job/<job> is a JobRecord.
	JobPrefix = "cw/job/"
	// RangePrefix: cw/work/<job>/<first task> is a RangeRecord.
	RangePrefix = "cw/work/"
	// FinalPrefix: cw/final/<job> is a FinalState.
	FinalPrefix = "cw/final/"
	// WorkerPrefix: cw/worker/<machine> is the record of a machine.
	WorkerPrefix = "cw/worker/"
	// ShardPrefix: cw/share/<shard> names the shard's owner. Its revision is the shard's epoch.
	ShardPrefix = "cw/share/"
	// LivenessPrefix: cw/live/<controller> is the liveness record of a controller.
	LivenessPrefix = "cw/live/"
	// SettingsKey is the key of the settings that the administration API changes.
	SettingsKey = "cw/settings"
	// MachineTypesKey is the key of the machine types and their prices.
	MachineTypesKey = "cw/types"
	// BootTimesKey is the key of the learned boot times by machine type.
	BootTimesKey = "cw/boots"
	// CompletionBatchPrefix: cw/pack/<shard>/<n> lists small jobs that are done, whose own
	// records may not say so yet.
	CompletionBatchPrefix = "cw/pack/"
	// QuotaPrefix: cw/portion/<team in hex> is how a team's quota is allocated to shards.
	QuotaPrefix = "cw/portion/"
	// VersionPrefix: cw/version/<controller> is the program version that a controller runs
	// (package featuregate).
	VersionPrefix = "cw/version/"
	// ChunkPrefix is for the chunks of records that are too large for one value (package
	// chunkedstore).
	ChunkPrefix = "cw/part/"
	// OpaquePrefix is for records that the controller stores without reading them. They are
	// under Prefix because a watch is not notified of revisions under other prefixes: a read that
	// waits until the cache has reached such a revision would wait for the watch request to end.
	OpaquePrefix = "cw/x/"
)

// JobKey returns the key of a job's record.
func JobKey(ref string) string { return JobPrefix + ref }

// RangeKey returns the key of the record of a task range.
func RangeKey(ref string, first int) string { return RangePrefix + ref + "/" + strconv.Itoa(first) }

// FinalKey returns the key of a job's final state.
func FinalKey(ref string) string { return FinalPrefix + ref }

// TaskName returns a task's name in commands and heartbeats.
func TaskName(ref string, i int) string { return ref + "/" + strconv.Itoa(i) }

// ParseTask splits a task's name into the job's reference and the task's number.
func ParseTask(name string) (ref string, i int, ok bool) {
	ref, number, found := strings.Cut(name, "/")
	if !found {
		return "", 0, false
	}
	i, err := strconv.Atoi(number)
	return ref, i, err == nil && i >= 0
}
