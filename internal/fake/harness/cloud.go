package harness

import (
	"context"

	"cherrywall/internal/cloud"
)

// Cloud is a stand-in of the cloud that lists Machines, and refuses to release machines unless
// AcceptsReleases is set.
type Cloud struct {
	AcceptsReleases bool
	Machines        []cloud.Machine
	ReleaseCalls    int // how often Release was called
	ReleasedHosts   int // how many machines these calls named, whether or not they were accepted
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
