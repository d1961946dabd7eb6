package statecache

import (
	"encoding/json"
	"time"

	"cherrywall/internal/featuregate"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

// What the records tell of jobs that others wait for, and of the other controllers'
// programs.

// applyFinal follows a durable final state.
func (m *Cache) applyFinal(ref string, final jobs.FinalState) {
	m.finalStates.Add(ref, final)
	m.State.Dependencies().ApplyFinalState(ref, jobdag.FinalStateOf(final.Status), time.Now())
}

// lookUpDependencyFinals asks for the ends of jobs that others wait for and that were over before this
// controller began to look: final states are not read at a start, they are kept for ever.
// Until it is known how such a job ended those behind it wait.
func (m *Cache) lookUpDependencyFinals(now time.Time) {
	if !m.synced || m.finalLookups >= tuning.MaxConcurrentFinalStateReads {
		return
	}
	for _, ref := range m.State.Dependencies().UnknownJobs(now.Add(-tuning.FinalStateReadRetryInterval), now, tuning.MaxConcurrentFinalStateReads-m.finalLookups) {
		m.finalLookups++
		m.LookUpFinal(ref, func(jobs.FinalState, bool, error) { m.finalLookups-- })
	}
}

// applyVersion follows what program a controller runs.
func (m *Cache) applyVersion(node string, value json.RawMessage, revision uint64) error {
	err := m.FeatureGate.ApplyRecord(node, value, revision)
	if m.FeatureGate.IsOpen() && !m.featuresEnabled {
		m.featuresEnabled = true
		m.log.Info("all controllers run this version or a later one", "version", featuregate.Version)
		m.hooks.FeaturesEnabled()
	}
	return err
}

// writeVersionRecord has it known, for ever, that this controller runs this program.
func (m *Cache) writeVersionRecord() {
	revision, due := m.FeatureGate.RecordDue()
	if !due || m.writingVersion {
		return
	}
	m.writingVersion = true
	key := jobs.VersionPrefix + m.cfg.Node
	m.Commit(kvstore.Normal, kvstore.Txn{Conditions: []kvstore.Condition{{Key: key, Revision: revision}}, Writes: []kvstore.Write{{Key: key, Value: featuregate.EncodeVersionRecord()}}},
		func(result kvstore.TxnResult, err error) {
			if err == nil && result.Succeeded {
				m.writingVersion = false
				return
			}
			m.mailbox.SendAfter(tuning.MaxRetryDelay, func() { m.writingVersion = false })
		})
}
