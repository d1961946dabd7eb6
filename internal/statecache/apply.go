package statecache

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/jobs"
	"cherrywall/internal/workerapi"
)

// Reasons for which a record is quarantined. Operators see the messages, which therefore name the
// fields of the stored form.
var (
	errShardMissing    = errors.New("share: missing")
	errInvalidRangeKey = errors.New("key: not the key of a task range")
)

// ApplyWrite applies the record that was written under key at revision. It quarantines a record
// that cannot be read, and ignores a write that is older than a deletion of the same key.
func (c *Cache) ApplyWrite(key string, value json.RawMessage, revision uint64) {
	if c.tombstones[key] > revision {
		return
	}
	c.updateQuarantine(key, value, revision, c.applyRecord(key, value, revision))
	c.State.MarkDirty()
}

// applyRecord passes a record to the component that owns this kind of record. Records with unknown
// keys are ignored.
func (c *Cache) applyRecord(key string, value json.RawMessage, revision uint64) error {
	switch {
	case strings.HasPrefix(key, jobs.LivenessPrefix):
		return c.Membership.ApplyLiveness(key[len(jobs.LivenessPrefix):], value, revision, time.Now())
	case strings.HasPrefix(key, jobs.ShardPrefix):
		return c.applyShard(key[len(jobs.ShardPrefix):], value, revision)
	case strings.HasPrefix(key, jobs.WorkerPrefix):
		return c.applyWorker(key[len(jobs.WorkerPrefix):], value, revision)
	case strings.HasPrefix(key, jobs.JobPrefix):
		return c.applyJob(key[len(jobs.JobPrefix):], value, revision)
	case strings.HasPrefix(key, jobs.RangePrefix):
		return c.applyTaskRange(key, value, revision)
	case strings.HasPrefix(key, jobs.CompletionBatchPrefix):
		return c.applyCompletionBatch(key, value, revision)
	case strings.HasPrefix(key, jobs.QuotaPrefix):
		return c.applyQuota(key[len(jobs.QuotaPrefix):], value, revision)
	case strings.HasPrefix(key, jobs.VersionPrefix):
		return c.applyVersion(key[len(jobs.VersionPrefix):], value, revision)
	case strings.HasPrefix(key, jobs.FinalPrefix):
		return c.applyFinalRecord(key[len(jobs.FinalPrefix):], value, revision)
	case key == jobs.SettingsKey:
		return c.applySettings(value, revision)
	case key == jobs.MachineTypesKey:
		return c.applyMachineTypes(value, revision)
	case key == jobs.BootTimesKey:
		return c.MachineTypes.ApplyBootTimesRecord(value, revision)
	}
	return nil
}

// ApplyDelete applies the deletion of a record at a revision.
func (c *Cache) ApplyDelete(key string, revision uint64) {
	if revision > c.appliedRevision {
		c.tombstones[key] = max(c.tombstones[key], revision)
	}
	delete(c.quarantinedRecords, key)
	c.removeRecord(key, revision)
	c.State.MarkDirty()
}

// removeRecord passes the deletion of a record to the component that owns this kind of record.
func (c *Cache) removeRecord(key string, revision uint64) {
	switch {
	case strings.HasPrefix(key, jobs.LivenessPrefix):
		c.Membership.RemoveLiveness(key[len(jobs.LivenessPrefix):], revision)
	case strings.HasPrefix(key, jobs.WorkerPrefix):
		if machine := c.State.ApplyMachineDeletion(key[len(jobs.WorkerPrefix):], revision); machine != nil {
			c.hooks.MachineRemoved(machine)
		}
	case strings.HasPrefix(key, jobs.JobPrefix):
		ref := key[len(jobs.JobPrefix):]
		c.State.ApplyJobDeletion(ref, revision)
		c.CompletionBatches.ApplyJobRecordDeletion(ref, revision)
	case strings.HasPrefix(key, jobs.CompletionBatchPrefix):
		c.CompletionBatches.RemoveBatch(key, revision)
	case strings.HasPrefix(key, jobs.RangePrefix):
		if ref, first, ok := parseTaskRangeKey(key); ok {
			c.State.ApplyRangeDeletion(ref, first, revision)
		}
	}
}

func (c *Cache) applyWorker(host string, value json.RawMessage, revision uint64) error {
	var record workerapi.Record
	if err := json.Unmarshal(value, &record); err != nil {
		return err
	}
	if record.Shard == "" {
		return errShardMissing
	}
	assignedTasks := 0
	if known := c.State.Machine(host); known != nil {
		assignedTasks = known.AssignmentCount()
	}
	if machine, moved := c.State.ApplyMachineRecord(host, record, revision); moved && c.synced {
		c.hooks.MachineMoved(machine, assignedTasks)
	}
	return nil
}

func (c *Cache) applyJob(ref string, value json.RawMessage, revision uint64) error {
	var record jobs.JobRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return jobs.DescribeDecodeError(err)
	}
	if err := record.Validate(); err != nil {
		return err
	}
	if record.Ref != ref {
		return fmt.Errorf("ref: %q", record.Ref)
	}
	if !c.CompletionBatches.ApplyJobRecord(ref, revision) {
		c.State.ApplyJobRecord(&record, revision, c.synced, c.settings.Spot)
	}
	return nil
}

func (c *Cache) applyTaskRange(key string, value json.RawMessage, revision uint64) error {
	var record jobs.RangeRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return err
	}
	ref, first, ok := parseTaskRangeKey(key)
	if !ok {
		return errInvalidRangeKey
	}
	if err := record.Validate(first); err != nil {
		return err
	}
	c.State.ApplyRangeRecord(ref, first, record, revision, c.synced)
	c.hooks.OwnerRecordWritten(record.Shard)
	return nil
}

// parseTaskRangeKey splits the key of a task range into the job's ref and the number of the first
// task. ok is false if the key is not of that form.
func parseTaskRangeKey(key string) (ref string, first int, ok bool) {
	ref, number, ok := strings.Cut(key[len(jobs.RangePrefix):], "/")
	first, err := strconv.Atoi(number)
	return ref, first, ok && err == nil
}

// applyCompletionBatch applies a completion batch. All jobs that the batch lists are done, so those
// that still have a job record are ended.
func (c *Cache) applyCompletionBatch(key string, value json.RawMessage, revision uint64) error {
	completions, err := c.CompletionBatches.ApplyBatch(key, value, revision)
	for _, completion := range completions {
		c.applyFinalState(completion.Ref, jobs.FinalState{Status: jobs.Done, Tasks: completion.Tasks})
		if job := c.State.Job(completion.Ref); job != nil {
			c.CompletionBatches.ApplyJobRecord(completion.Ref, job.Revision())
			c.State.EndJob(job)
		}
	}
	return err
}

func (c *Cache) applyQuota(encodedTeam string, value json.RawMessage, revision uint64) error {
	team, err := hex.DecodeString(encodedTeam)
	if err != nil {
		return err
	}
	return c.Quotas.ApplyRecord(string(team), value, revision)
}

func (c *Cache) applySettings(value json.RawMessage, revision uint64) error {
	if revision <= c.settingsRevision {
		return nil
	}
	settings := admin.DefaultSettings()
	if err := json.Unmarshal(value, &settings); err != nil {
		return err
	}
	c.settings, c.settingsRevision = settings, revision
	c.hooks.SetLogLevel(settings.LogLevel)
	c.State.RecountAllMachines()
	return nil
}

func (c *Cache) applyMachineTypes(value json.RawMessage, revision uint64) error {
	changed, err := c.MachineTypes.ApplyTypesRecord(value, revision)
	if changed {
		c.State.RecountAllMachines()
	}
	return err
}
