package diagnostics

import (
	"cmp"
	"slices"
)

// shardView is a shard as this controller sees it.
type shardView struct {
	Shard      string `json:"share"`
	Owner      string `json:"holder"`
	OwnerAlive bool   `json:"live"`
	Epoch      uint64 `json:"baton"`
	Reconciled bool   `json:"settled"`
	Workers    int    `json:"workers"`
}

// shards lists all shards, sorted by name. A shard of another controller is always shown as
// reconciled, because this controller does not know whether it is.
func (r *Reporter) shards() []shardView {
	views := []shardView{}
	for _, shard := range r.deps.Membership.Shards() {
		view := shardView{
			Shard:      shard.ID(),
			Owner:      shard.Owner(),
			OwnerAlive: r.deps.Membership.OwnerIsLive(shard),
			Epoch:      shard.Epoch(),
			Reconciled: shard.IsReconciled() || !shard.IsLocal(),
		}
		for machine := range r.deps.State.Machines() {
			if machine.Record().Shard == shard.ID() {
				view.Workers++
			}
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(x, y shardView) int { return cmp.Compare(x.Shard, y.Shard) })
	return views
}
