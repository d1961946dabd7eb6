package harness

import (
	"context"

	"cherrywall/internal/cloud"
)

// Cloud is a fake cloud that lists Machines, and fails to release machines unless AcceptsReleases is set.
type Cloud struct {
	AcceptsReleases   bool
	Machines          []cloud.Machine
	ReleaseCallCount  int // how often Release was called
	ReleasedHostCount int // how many machines these calls named, including calls that failed
}

// Release returns cloud.ErrUnavailable unless AcceptsReleases is set.
func (c *Cloud) Release(_ context.Context, hosts []string) error {
	c.ReleaseCallCount++
	c.ReleasedHostCount += len(hosts)
	if c.AcceptsReleases {
		return nil
	}
	return cloud.ErrUnavailable
}

// List returns Machines.
func (c *Cloud) List(context.Context) ([]cloud.Machine, error) { return c.Machines, nil }
