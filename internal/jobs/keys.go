package jobs

import (
	"strconv"
	"strings"
)

// Keys in the key-value store.
const (
	// Prefix is the common prefix of all keys. Controllers watch all keys that begin with it.
	Prefix = "cw/"
	// JobPrefix is the prefix of the keys cw/job/<job>, each of which holds a JobRecord.
	JobPrefix = "cw/job/"
	// RangePrefix is the prefix of the keys cw/work/<job>/<first task>, each of which holds a
	// RangeRecord.
	RangePrefix = "cw/work/"
	// FinalPrefix is the prefix of the keys cw/final/<job>, each of which holds a FinalState.
	FinalPrefix = "cw/final/"
	// WorkerPrefix is the prefix of the keys cw/worker/<machine>, each of which holds the record
	// of a machine.
	WorkerPrefix = "cw/worker/"
	// ShardPrefix is the prefix of the keys cw/share/<shard>, each of which holds the name of the
	// shard's owner. The revision of the record is the shard's epoch.
	ShardPrefix = "cw/share/"
	// LivenessPrefix is the prefix of the keys cw/live/<controller>, each of which holds the
	// liveness record of a controller.
	LivenessPrefix = "cw/live/"
	// SettingsKey is the key of the settings that operators change through the administration API.
	SettingsKey = "cw/settings"
	// MachineTypesKey is the key of the record of the machine types and their prices.
	MachineTypesKey = "cw/types"
	// BootTimesKey is the key of the record of the learned boot times of the machine types.
	BootTimesKey = "cw/boots"
	// CompletionBatchPrefix is the prefix of the keys cw/pack/<shard>/<n>, each of which lists
	// small jobs that are done although their own records may not yet say so.
	CompletionBatchPrefix = "cw/pack/"
	// QuotaPrefix is the prefix of the keys cw/portion/<team in hex>, each of which holds the
	// allocation of a team's quota to the shards.
	QuotaPrefix = "cw/portion/"
	// VersionPrefix is the prefix of the keys cw/version/<controller>, each of which holds the
	// version of the program that a controller runs. Package featuregate uses these records.
	VersionPrefix = "cw/version/"
	// ChunkPrefix is the prefix of the keys of chunks. Package chunkedstore splits a record that
	// is too large for one value into chunks.
	ChunkPrefix = "cw/part/"
	// OpaquePrefix is the prefix of the keys of records that controllers store but don't interpret.
	// It lies under Prefix because the controllers' watch does not report revisions under other
	// prefixes: a read that waits until the cache has reached such a revision would be blocked
	// until the watch request ends.
	OpaquePrefix = "cw/x/"
)

// JobKey returns the key of a job's record.
func JobKey(ref string) string { return JobPrefix + ref }

// RangeKey returns the key of the record of the task range that begins with task first.
func RangeKey(ref string, first int) string { return RangePrefix + ref + "/" + strconv.Itoa(first) }

// FinalKey returns the key of a job's final state.
func FinalKey(ref string) string { return FinalPrefix + ref }

// TaskName returns the name by which commands and heartbeats refer to task i of a job.
func TaskName(ref string, i int) string { return ref + "/" + strconv.Itoa(i) }

// ParseTaskName splits a task's name into the job's reference and the task's number. ok is false if the
// name has no slash, or if the text after the slash is not a whole number of at least 0.
func ParseTaskName(name string) (ref string, i int, ok bool) {
	ref, number, found := strings.Cut(name, "/")
	if !found {
		return "", 0, false
	}
	i, err := strconv.Atoi(number)
	return ref, i, err == nil && i >= 0
}
