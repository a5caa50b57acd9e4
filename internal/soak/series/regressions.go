package series

import (
	"maps"
	"slices"
)

// regressions holds the seeds that ever failed, with the cause of each.
var regressions = map[uint64]string{}

// RegressionSeeds returns the seeds that ever failed, in order.
func RegressionSeeds() []uint64 { return slices.Sorted(maps.Keys(regressions)) }
