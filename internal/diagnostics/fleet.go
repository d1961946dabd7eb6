package diagnostics

import "cherrywall/internal/featuregate"

// upgradeView shows which versions the controllers run and the limits of the key-value store.
type upgradeView struct {
	// GateOpen reports whether all controllers run this version or a later one, so that all features
	// are enabled.
	GateOpen bool `json:"open"`
	// WaitsFor are the controllers that have recorded no version or a version older than this
	// controller's.
	WaitsFor    []string      `json:"waits_for"`
	Controllers []versionView `json:"controllers"`
	// Limits are the limits of the key-value store that are in force, by name.
	Limits map[string]float64 `json:"limits"`
}

// versionView is the version that one controller runs.
type versionView struct {
	Node                 string `json:"controller"`
	Version              int    `json:"version"`
	SupportsDependencies bool   `json:"knows_awaits"`
}

func (r *Reporter) upgrade() upgradeView {
	limits := r.cfg.EffectiveStateLimits()
	gate := r.deps.FeatureGate
	view := upgradeView{
		GateOpen: gate.IsOpen(featuregate.Latest),
		WaitsFor: append([]string{}, gate.PendingControllers(featuregate.Latest)...),
		Limits: map[string]float64{
			"requests_per_s": limits.RPS,
			"changes_per_s":  limits.WriteRPS,
			"value_kb":       limits.ValueKB,
			"txn_ops":        float64(limits.TxnOps),
		},
	}
	for _, node := range r.deps.Membership.Controllers() {
		view.Controllers = append(view.Controllers, versionView{
			Node:                 node,
			Version:              gate.VersionOf(node),
			SupportsDependencies: gate.VersionOf(node) >= int(featuregate.Dependencies),
		})
	}
	return view
}

// fleetView shows the number of machines, by "zone/type/ordinary" or "zone/type/spot", and their
// total price per hour.
type fleetView struct {
	Machines   map[string]int `json:"machines"`
	HourlyCost float64        `json:"cost_per_hour"`
}

func (r *Reporter) fleet() fleetView {
	view := fleetView{Machines: map[string]int{}}
	for machine := range r.deps.State.Machines() {
		record := machine.Record()
		machineType, _ := r.deps.MachineTypes.Get(record.MachineType)
		market, price := "/ordinary", machineType.HourlyPrice
		if record.Spot {
			market, price = "/spot", machineType.SpotHourlyPrice
		}
		view.Machines[record.Zone+"/"+record.MachineType+market]++
		view.HourlyCost += price
	}
	return view
}
