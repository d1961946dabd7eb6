package placement

import (
	"encoding/json"
	"slices"
	"strings"

	"cherrywall/internal/cloud"
	"cherrywall/internal/jobs"
	"cherrywall/internal/state"
)

// types is what is kept of the machine types in the state service: a controller
// that starts while the cloud is down could neither judge submissions nor place
// a task without them.
type types struct {
	list    []cloud.Flavor
	stamp   uint64
	writing bool
	heard   []cloud.Flavor // from the cloud: the record matters no more
}

// SetFlavors tells the actor the machine types, as the cloud has them.
func (a *Actor) SetFlavors(f []cloud.Flavor) {
	a.tell(call(func(a *Actor) {
		a.types.heard = f
		a.useFlavors(f)
	}))
}

func (a *Actor) useFlavors(list []cloud.Flavor) {
	for _, x := range list {
		a.flavors[x.SKU] = x
	}
	for _, m := range a.workers {
		a.recount(m)
	}
	a.dirty = true
}

// keepTypes records the machine types if they differ from the record. Prices
// move all the time and are not worth a change.
func (a *Actor) keepTypes() {
	list := slices.Clone(a.types.heard)
	slices.SortFunc(list, func(x, y cloud.Flavor) int { return strings.Compare(x.SKU, y.SKU) })
	same := slices.EqualFunc(list, a.types.list, func(x, y cloud.Flavor) bool {
		x.Hourly, x.SpotHourly, y.Hourly, y.SpotHourly = 0, 0, 0, 0
		return string(encode(x)) == string(encode(y))
	})
	if same || len(list) == 0 || a.types.writing {
		return
	}
	value := encode(list)
	if !a.fitsValue(value) {
		return
	}
	a.types.writing = true
	a.txn(state.Background, state.Txn{If: []state.Cond{{Key: jobs.TypesKey, Stamp: a.types.stamp}},
		Writes: []state.Write{{Key: jobs.TypesKey, Value: value}}},
		func(state.Result, error) { a.types.writing = false })
}

func (a *Actor) typesChanged(value json.RawMessage, stamp uint64) error {
	if stamp <= a.types.stamp {
		return nil
	}
	var list []cloud.Flavor
	if err := json.Unmarshal(value, &list); err != nil {
		return err
	}
	a.types.list, a.types.stamp = list, stamp
	if a.types.heard == nil {
		a.useFlavors(list)
	}
	return nil
}
