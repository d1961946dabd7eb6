package workersession

import (
	"slices"
	"time"

	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/workerapi"
)

// registrations holds the workers whose records are being written.
type registrations struct {
	hosts  map[string]bool
	counts map[shardAndType]int // number of these workers, by the shard to which they are assigned and their machine type
}

type shardAndType struct{ shardID, machineType string }

func newRegistrations() registrations {
	return registrations{hosts: map[string]bool{}, counts: map[shardAndType]int{}}
}

// register durably assigns an unknown worker to a shard before its heartbeat is answered.
func (m *Manager) register(pending *pendingHeartbeat) {
	heartbeat := pending.heartbeat
	shardID := m.leastLoadedShard(heartbeat.Zone, heartbeat.MachineType)
	shard := m.Membership.Shard(shardID)
	// If the record cannot be written now or is already being written, the heartbeat is refused. The worker will
	// send another one.
	if m.Cache.IsStale(time.Now()) || m.registrations.hosts[heartbeat.Host] || shard == nil {
		pending.refuse()
		return
	}
	target := shardAndType{shardID, heartbeat.MachineType}
	m.registrations.hosts[heartbeat.Host] = true
	m.registrations.counts[target]++
	key := jobs.WorkerPrefix + heartbeat.Host
	record := workerapi.Record{
		Shard:          shardID,
		Addr:           heartbeat.Addr,
		MachineType:    heartbeat.MachineType,
		Zone:           heartbeat.Zone,
		Spot:           heartbeat.Spot,
		RegisteredAtMS: time.Now().UnixMilli(),
	}
	txn := kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: key}, {Key: jobs.ShardPrefix + shardID, Revision: shard.Epoch()}},
		Writes:     []kvstore.Write{{Key: key, Value: kvstore.MustEncode(record)}},
	}
	m.Cache.Commit(kvstore.Normal, txn, func(kvstore.TxnResult, error) {
		delete(m.registrations.hosts, heartbeat.Host)
		m.registrations.counts[target]--
		m.finishRegistration(pending)
	})
}

// finishRegistration processes a new worker's heartbeat after the worker's record was written, by this
// controller or by another one.
func (m *Manager) finishRegistration(pending *pendingHeartbeat) {
	heartbeat := pending.heartbeat
	machine := m.State.Machine(heartbeat.Host)
	if machine == nil {
		pending.refuse()
		return
	}
	m.Reconciler.CountRegisteredWorker(machine, time.Now())
	m.log.Info("worker registered", "worker", heartbeat.Host, "shard", machine.Record().Shard,
		"machine_type", heartbeat.MachineType, "zone", heartbeat.Zone, "spot", heartbeat.Spot)
	m.process(pending)
}

// leastLoadedShard chooses the shard of a new worker, which is the candidate shard that has the fewest workers of
// the machine type.
func (m *Manager) leastLoadedShard(zone, machineType string) string {
	leastLoadedID, leastCount := "", 0
	for _, shardID := range m.candidateShards(zone) {
		// Workers that are being registered are counted too, so that many new machines are spread
		// over the shards.
		count := m.registrations.counts[shardAndType{shardID, machineType}] + m.countWorkers(shardID, machineType)
		if leastLoadedID == "" || count < leastCount {
			leastLoadedID, leastCount = shardID, count
		}
	}
	return leastLoadedID
}

// candidateShards returns the sorted IDs of the shards whose home controller is in a zone, or of all shards if
// the zone has no home controller. A shard has the name of its home controller.
func (m *Manager) candidateShards(zone string) []string {
	var zoneShards, allShards []string
	for _, member := range m.cfg.Members() {
		allShards = append(allShards, member.Node)
		if member.Zone == zone {
			zoneShards = append(zoneShards, member.Node)
		}
	}
	shardIDs := zoneShards
	if len(zoneShards) == 0 {
		shardIDs = allShards
	}
	slices.Sort(shardIDs)
	return shardIDs
}

func (m *Manager) countWorkers(shardID, machineType string) int {
	count := 0
	for machine := range m.State.Machines() {
		record := machine.Record()
		if record.Shard == shardID && record.MachineType == machineType && !machine.IsLost() {
			count++
		}
	}
	return count
}
