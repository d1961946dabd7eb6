package scheduler

import (
	"cherrywall/internal/clusterstate"
	"cherrywall/internal/jobs"
)

// ZoneLimits says in which zones further tasks of an array or service may run, given its claimed tasks.
type ZoneLimits struct {
	// Only is the zone of the claimed tasks of an array that must run in one zone. It is empty if
	// none is claimed, or if the array may run in several zones.
	Only string
	// MaxPerZone is the largest number of tasks in a zone of an array that is spread over zones, 0
	// if the array is not spread.
	MaxPerZone int
	// Tasks are the claimed tasks by zone of an array that is spread over zones.
	Tasks map[string]int
}

// Allow reports whether further tasks may run in a zone.
func (l ZoneLimits) Allow(zone string) bool {
	return (l.Only == "" || l.Only == zone) && (l.MaxPerZone == 0 || l.Tasks[zone] < l.MaxPerZone)
}

// MaxTasks returns how many further tasks may run in an allowed zone, at most limit.
func (l ZoneLimits) MaxTasks(zone string, limit int) int {
	if l.MaxPerZone == 0 {
		return limit
	}
	return min(limit, l.MaxPerZone-l.Tasks[zone])
}

// zoneLimitsOf returns the zone limits of an array or service. A gang is claimed as a whole, so its claimed
// tasks limit nothing.
func zoneLimitsOf(job *clusterstate.Job) ZoneLimits {
	var limits ZoneLimits
	record := job.Record()
	if job.IsGang() {
		return limits
	}
	if record.OneZone {
		limits.Only = claimedZone(job)
	}
	if record.Spread {
		limits.MaxPerZone, limits.Tasks = maxTasksPerZone(record), job.TasksByZone()
	}
	return limits
}

// claimedZone returns the zone to which the claimed tasks of an array are bound that must run in one zone. It
// returns "" if no unfinished task is claimed.
func claimedZone(job *clusterstate.Job) string {
	for taskRange := range job.TaskRanges() {
		if zone := taskRange.Record().Zone; zone != "" && taskRange.UnfinishedCount() > 0 {
			return zone
		}
	}
	return ""
}

// maxTasksPerZone returns how many tasks of a job that is spread over zones may run in one zone.
func maxTasksPerZone(record *jobs.JobRecord) int { return (record.Tasks + 1) / 2 }
