package diagnostics

import (
	"time"

	"cherrywall/internal/failuredetector"
	"cherrywall/internal/tuning"
)

// memberState is the state of a controller as this controller sees it: one of the constants below,
// failuredetector.Suspected or failuredetector.Failed. The administration API shows the values, so they
// must not change.
type memberState string

const (
	memberLeaving      memberState = "leaving"
	memberAlive        memberState = "alive"
	memberNoHeartbeats memberState = "alive, but not heard"
	memberLeaseExpired memberState = "heard, but its grant has ended"
	memberFailed       memberState = "failed"
)

// memberView is a controller as this controller sees it.
type memberView struct {
	Node  string      `json:"controller"`
	State memberState `json:"state"`
	// HeartbeatAgeSeconds is the age of the last peer heartbeat. It is nil if no heartbeat was
	// received, and for this controller itself.
	HeartbeatAgeSeconds *float64 `json:"beat_s"`
	// StoreSilentSeconds is the time since the key-value store last responded to the controller.
	// For other controllers it is taken from their last heartbeat.
	StoreSilentSeconds float64  `json:"state_silent_s"`
	OwnedShards        []string `json:"holds"`
	// LongestOwnedSeconds is the longest time for which the controller has owned one of these
	// shards, as far as this controller knows.
	LongestOwnedSeconds float64 `json:"held_s"`
}

// members lists all configured controllers, sorted by name.
func (r *Reporter) members(now time.Time) []memberView {
	views := []memberView{}
	for _, node := range r.deps.Membership.Controllers() {
		view := memberView{Node: node, OwnedShards: []string{}}
		r.describeLiveness(&view, now)
		for _, shard := range r.deps.Membership.Shards() {
			if shard.Owner() != node || !r.deps.Membership.OwnerIsLive(shard) {
				continue
			}
			view.OwnedShards = append(view.OwnedShards, shard.ID())
			view.LongestOwnedSeconds = max(view.LongestOwnedSeconds, now.Sub(shard.KnownSince()).Seconds())
		}
		views = append(views, view)
	}
	return views
}

// describeLiveness sets the state of a controller, the age of its last heartbeat, and the time since
// the key-value store last responded to it.
func (r *Reporter) describeLiveness(view *memberView, now time.Time) {
	isLive := r.deps.Membership.IsLive(view.Node, 0)
	heartbeat, age, hasHeartbeat := r.deps.Peers.Latest(view.Node, now)
	if view.Node == r.cfg.Node {
		view.State = livenessState(isLive, true, r.deps.IsLeaving())
		view.StoreSilentSeconds = now.Sub(r.deps.Cache.LastContactAt()).Seconds()
	} else {
		view.State = livenessState(isLive, hasHeartbeat && age < tuning.PeerIdleTimeout, r.deps.Peers.IsLeaving(view.Node, now))
		if state := r.deps.Detector.State(view.Node, now); isFailureState(state) {
			view.State = memberState(state)
		}
	}
	if hasHeartbeat {
		seconds := age.Seconds()
		view.HeartbeatAgeSeconds = &seconds
		view.StoreSilentSeconds = (heartbeat.StoreSilentFor + age).Seconds()
	}
}

func isFailureState(state failuredetector.State) bool {
	return state == failuredetector.Suspected || state == failuredetector.Failed
}

// livenessState returns the state of a controller that the failure detector does not report as
// suspected or failed. The state depends on whether the controller's lease is valid, whether its
// heartbeats arrive, and whether it is shutting down.
func livenessState(isLive, sendsHeartbeats, isLeaving bool) memberState {
	switch {
	case isLeaving:
		return memberLeaving
	case isLive && sendsHeartbeats:
		return memberAlive
	case isLive:
		return memberNoHeartbeats
	case sendsHeartbeats:
		return memberLeaseExpired
	}
	return memberFailed
}
