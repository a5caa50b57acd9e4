// Package donors chooses the instances that move into pools that need more.
//
// # Usage
//
//	list := donors.List{InUse: inUse, Spare: spare}
//	id := list.Choose(excess)
package donors

// Instance is an instance that can move to another pool, and the number of tasks that run on it.
type Instance struct {
	ID, Pool string
	Runs     int
}

// List holds the instances that can move, each once in a plan.
type List struct {
	// InUse holds those of pools with an excess, the emptiest first, and Spare those that are switched off.
	InUse []Instance
	Spare []string
}

// Choose returns the instance whose move costs least, and "" if there is none: an empty one of a pool with an excess, one that is
// switched off, or one that will be empty soon. It takes the instance off the list and its pool's excess.
func (d *List) Choose(excess map[string]int) string {
	for len(d.InUse) > 0 && excess[d.InUse[0].Pool] <= 0 {
		d.InUse = d.InUse[1:]
	}
	if len(d.Spare) > 0 && (len(d.InUse) == 0 || d.InUse[0].Runs > 0) {
		id := d.Spare[0]
		d.Spare = d.Spare[1:]
		return id
	}
	if len(d.InUse) == 0 {
		return ""
	}
	first := d.InUse[0]
	d.InUse = d.InUse[1:]
	excess[first.Pool]--
	return first.ID
}
