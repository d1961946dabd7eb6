package harness

import (
	"context"

	"cherrywall/internal/cloud"
)

// Cloud is a stand-in that lists some machines, and refuses to release machines unless it is told
// otherwise.
type Cloud struct {
	AcceptsReleases bool
	Machines        []cloud.Machine
	ReleaseCalls    int // how often Release was called
	ReleasedHosts   int // for how many machines together
}

// Release returns cloud.ErrUnavailable unless the cloud accepts releases.
func (c *Cloud) Release(_ context.Context, hosts []string) error {
	c.ReleaseCalls++
	c.ReleasedHosts += len(hosts)
	if c.AcceptsReleases {
		return nil
	}
	return cloud.ErrUnavailable
}

// List returns the machines.
func (c *Cloud) List(context.Context) ([]cloud.Machine, error) { return c.Machines, nil }
