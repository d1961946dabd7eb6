package peer

// The bits of Task.flags in beat.fbs.
const (
	taskStartSent = 1 << iota
	taskReported
	taskStopRequested
	taskStopSent
	taskForeign
)

// The bits of Standing.flags in beat.fbs.
const (
	machineLost = 1 << iota
	machinePreempted
	machineDrained
	machineEmpty
	machineAwaitingHeartbeat
)

// packFlags returns a byte whose bit i is the i-th flag.
func packFlags(flags ...bool) (packed byte) {
	for i, isSet := range flags {
		if isSet {
			packed |= 1 << i
		}
	}
	return packed
}
