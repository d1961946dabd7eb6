package controller

import (
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/admin"
)

// Settings returns the current settings of the operators and their version; ok is false as long as the
// settings have not been read, and if the controller has ended.
func (c *Controller) Settings() (settings admin.Settings, version uint64, ok bool) {
	type answer struct {
		settings admin.Settings
		version  uint64
		isSynced bool
	}
	result, _ := actor.Ask(c.mailbox, func() (a answer) {
		a.settings, a.version = c.cache.Settings()
		a.isSynced = c.cache.Synced()
		return a
	})
	return result.settings, result.version, result.isSynced
}

// ChangeSettings stores new settings if the stored settings still have the given version, and returns
// the new version. The error is admin.ErrVersionConflict or admin.ErrUnavailable.
func (c *Controller) ChangeSettings(settings admin.Settings, version uint64) (uint64, error) {
	type answer struct {
		version uint64
		err     error
	}
	answers := make(chan answer, 1)
	c.mailbox.Send(func() {
		c.cache.ChangeSettings(settings, version, func(version uint64, err error) { answers <- answer{version, err} })
	})
	select {
	case result := <-answers:
		return result.version, result.err
	case <-c.mailbox.Context().Done():
		return 0, admin.ErrUnavailable
	}
}

// IsFirstLiveMember reports whether this controller has the first name, in alphabetical order, of the live
// controllers. That controller does the work that only one controller has to do. For a moment, two
// controllers may consider themselves the first, so such work must be safe to repeat.
func (c *Controller) IsFirstLiveMember() bool {
	isFirst, _ := actor.Ask(c.mailbox, c.isFirstLiveMember)
	return isFirst
}

func (c *Controller) isFirstLiveMember() bool {
	for _, node := range c.members.Controllers() {
		if c.members.IsLive(node, 0) {
			return node == c.cfg.Node
		}
	}
	return false
}

// View returns the named view as a value to be encoded as JSON; admin.ViewNames lists the names. View
// returns nil and false as long as the records have not been read, and if the controller has ended.
func (c *Controller) View(name string) (view any, ok bool) {
	view, _ = actor.Ask(c.mailbox, func() any {
		if !c.cache.Synced() {
			return nil
		}
		return c.diagnostics.View(name, time.Now())
	})
	return view, view != nil
}

// Gauges returns the values of the controller's gauges by metric name, or nil if the controller has ended.
func (c *Controller) Gauges() map[string]float64 {
	gauges, _ := actor.Ask(c.mailbox, func() map[string]float64 { return c.diagnostics.Gauges(time.Now()) })
	return gauges
}
