package series

import (
	"maps"
	"slices"
)

// regressions holds the seeds that ever failed, with the cause of each.
var regressions = map[uint64]string{
	2:   "the end of a silent connection reached the client and counted as an answer that a planned stop broke off: fault of the link",
	6:   "two plays had the same loopback addresses: fault of the world",
	301: "the machine, with a load of 70, stood still for 0.4 s at the end of a planned stop, and requests that the process had not read count as broken off: open",
	320: "a worker was maintained right before the leader changed twice; the task that lasts there was started again after 10.2 s, when leases of previous leaders had ended: workers that were known to be gone stayed on record",
	324: "the same as 301",
	413: "the same as 301, but only the process that was stopped did nothing, for 2.1 s: open",
}

// RegressionSeeds returns the seeds that ever failed, in order.
func RegressionSeeds() []uint64 { return slices.Sorted(maps.Keys(regressions)) }
