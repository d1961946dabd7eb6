package diagnostics

import (
	"time"

	"cherrywall/internal/failuredetector"
	"cherrywall/internal/tuning"
)

// memberView is a controller as this one sees it.
type memberView struct {
	Node  string `json:"controller"`
	State string `json:"state"`
	// HeartbeatAgeSeconds is the age of the last peer heartbeat; nil if there was none, and for
	// this controller itself.
	HeartbeatAgeSeconds *float64 `json:"beat_s"`
	// StoreSilentSeconds is the time since the key-value store answered the controller, by the
	// controller's last heartbeat.
	StoreSilentSeconds float64  `json:"state_silent_s"`
	OwnedShards        []string `json:"holds"`
	// LongestOwnedSeconds is how long the controller has owned the oldest of these shards, as
	// far as this controller knows.
	LongestOwnedSeconds float64 `json:"held_s"`
}

// members lists all configured controllers by name.
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

// describeLiveness fills in the state of a controller and the age of what is known of it.
func (r *Reporter) describeLiveness(view *memberView, now time.Time) {
	isLive := r.deps.Membership.IsLive(view.Node, 0)
	heartbeat, age, hasHeartbeat := r.deps.Peers.Latest(view.Node, now)
	if view.Node == r.cfg.Node {
		view.State = memberState(isLive, true, r.deps.IsLeaving())
		view.StoreSilentSeconds = now.Sub(r.deps.Cache.LastContactAt()).Seconds()
	} else {
		view.State = memberState(isLive, hasHeartbeat && age < tuning.PeerIdleTimeout, r.deps.Peers.IsLeaving(view.Node, now))
		if state := r.deps.Detector.State(view.Node, now); isFailureState(state) {
			view.State = string(state)
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

// memberState describes whether a controller's lease is valid and whether its heartbeats arrive. The
// texts are output of the administration API and keep their form.
func memberState(isLive, sendsHeartbeats, isLeaving bool) string {
	switch {
	case isLeaving:
		return "leaving"
	case isLive && sendsHeartbeats:
		return "alive"
	case isLive:
		return "alive, but not heard"
	case sendsHeartbeats:
		return "heard, but its grant has ended"
	}
	return "failed"
}
