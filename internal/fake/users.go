package fake

import (
	"time"

	"cherrywall/internal/admin"
	"cherrywall/internal/controller"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
)

const (
	userTimeout        = 5 * time.Second // how long a user waits for a response
	statusPollInterval = 500 * time.Millisecond
)

// JobSpec returns a valid job specification with the given values, and default values for all other fields.
func JobSpec(ref string, kind jobs.Kind, tasks int, cpu float64) jobs.Spec {
	return jobs.Spec{Ref: ref, Class: "c", Team: "ops", Kind: kind, Urgency: "normal", Tasks: tasks, CPU: cpu,
		MemGB: cpu, Image: "img", ImageGB: 1, EstimatedRunSeconds: 5}
}

// Submit submits a job to a controller. Each of its tasks runs for runTime.
func (c *Cluster) Submit(node string, spec jobs.Spec, runTime time.Duration) controller.Response {
	c.RegisterJob(spec, runTime)
	return c.SubmitUntracked(node, spec, nil)
}

// Resubmit submits a job to a controller again. It does not change the specification that the
// workers and the invariant checks use.
func (c *Cluster) Resubmit(node string, spec jobs.Spec) controller.Response {
	return c.SubmitUntracked(node, spec, nil)
}

// ResubmitUnchanged submits a job to a controller again with the specification that was passed to Submit.
func (c *Cluster) ResubmitUnchanged(node, ref string) controller.Response {
	c.mu.Lock()
	spec := c.workload.specs[ref]
	c.mu.Unlock()
	return c.Resubmit(node, spec)
}

// SubmitUntracked sends a submission without recording the job's specification for the workers and the
// invariant checks. validationErr is the validation error of the request body, nil for a valid body.
func (c *Cluster) SubmitUntracked(node string, spec jobs.Spec, validationErr error) controller.Response {
	return c.request(node, func(ctl *controller.Controller, responses chan controller.Response) {
		ctl.Submit(spec.Ref, &spec, validationErr, responses)
	})
}

// Poll asks a controller for a job's status.
func (c *Cluster) Poll(node, ref string) controller.Response {
	return c.request(node, func(ctl *controller.Controller, responses chan controller.Response) {
		ctl.Poll(ref, responses)
	})
}

// Cancel asks a controller to cancel a job.
func (c *Cluster) Cancel(node, ref string) controller.Response {
	return c.request(node, func(ctl *controller.Controller, responses chan controller.Response) {
		ctl.Cancel(ref, responses)
	})
}

// request sends a request to a controller and waits up to userTimeout for the response. The response is
// empty if none arrives in time or the controller does not run.
func (c *Cluster) request(name string, send func(ctl *controller.Controller, responses chan controller.Response)) controller.Response {
	node := c.node(name)
	if node == nil {
		return controller.Response{}
	}
	responses := make(chan controller.Response, 1)
	send(node.Controller, responses)
	timeout := time.NewTimer(userTimeout)
	defer timeout.Stop()
	select {
	case response := <-responses:
		return response
	case <-timeout.C:
		return controller.Response{}
	}
}

// WaitForStatus polls a job until it has the given status, and returns false if that takes longer than timeout.
func (c *Cluster) WaitForStatus(node, ref string, status jobs.Status, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		if c.Poll(node, ref).Status == status {
			return true
		}
		_ = kvstore.Sleep(c.ctx, statusPollInterval)
	}
	return false
}

// ChangeSettings changes the operators' settings through a controller.
func (c *Cluster) ChangeSettings(node string, change func(s *admin.Settings)) error {
	settings, version, _ := c.Nodes[node].Controller.Settings()
	change(&settings)
	_, err := c.Nodes[node].Controller.ChangeSettings(settings, version)
	return err
}
