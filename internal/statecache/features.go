package statecache

import (
	"encoding/json"

	"cherrywall/internal/featuregate"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/tuning"
)

// applyVersion applies the record of the program version that a controller runs.
func (c *Cache) applyVersion(controller string, value json.RawMessage, revision uint64) error {
	err := c.FeatureGate.ApplyRecord(controller, value, revision)
	if c.FeatureGate.IsOpen(featuregate.Dependencies) && !c.featuresEnabled {
		c.featuresEnabled = true
		c.hooks.FeaturesEnabled()
	}
	if c.FeatureGate.IsOpen(featuregate.Latest) && !c.upgradeLogged {
		c.upgradeLogged = true
		c.log.Info("all controllers run this version or a later one", "version", featuregate.Version)
	}
	return err
}

// writeVersionRecord stores the record of the program version that this controller runs, unless that
// version is already recorded.
func (c *Cache) writeVersionRecord() {
	revision, due := c.FeatureGate.VersionRecordDue()
	if !due || c.versionWriteInFlight {
		return
	}
	c.versionWriteInFlight = true
	key := jobs.VersionPrefix + c.cfg.Node
	txn := kvstore.Txn{
		Conditions: []kvstore.Condition{{Key: key, Revision: revision}},
		Writes:     []kvstore.Write{{Key: key, Value: featuregate.EncodeVersionRecord()}},
	}
	c.Commit(kvstore.Normal, txn, func(result kvstore.TxnResult, err error) {
		if err == nil && result.Succeeded {
			c.versionWriteInFlight = false
			return
		}
		// Without this delay, Tick would repeat a failing write several times a second.
		c.mailbox.SendAfter(tuning.MaxRetryDelay, func() { c.versionWriteInFlight = false })
	})
}
