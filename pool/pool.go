// Package pool describes pools of instances and their availability budgets.
//
// # Usage
//
//	p, err := pool.New(pool.Spec{Name: "shiftDesk", MaxUnavailable: "20%"})
//	n := p.MaxUnavailable(10) // 2
package pool

import (
	"math"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Spec is the configuration document of a pool.
type Spec struct {
	Name string `yaml:"name" json:"name"`
	// MaxUnavailable is the availability budget: how many instances may be out of service at a time,
	// as a count ("2") or a percentage of the pool ("20%").
	MaxUnavailable string `yaml:"maxUnavailable" json:"maxUnavailable"`
	// MaxUnavailablePerRack and MaxUnavailablePerDataCentre limit how many instances may be out of service in one
	// failure domain. They have the same form and are optional.
	MaxUnavailablePerRack       string `yaml:"maxUnavailablePerRack,omitempty" json:"maxUnavailablePerRack,omitempty"`
	MaxUnavailablePerDataCentre string `yaml:"maxUnavailablePerDataCentre,omitempty" json:"maxUnavailablePerDataCentre,omitempty"`
	// Spare marks the spare pool, from which instances move to other pools.
	Spare bool `yaml:"spare,omitempty" json:"spare,omitempty"`
}

// Pool is a valid pool.
type Pool struct {
	spec          Spec
	total         limit
	perRack       limit
	perDataCentre limit
}

// New returns the pool of a document. It fails if a field is missing or invalid.
func New(spec Spec) (Pool, error) {
	if spec.Name == "" {
		return Pool{}, eris.New("pool has no name")
	}
	p := Pool{spec: spec}
	if spec.MaxUnavailable == "" {
		return Pool{}, eris.Errorf("pool %q has no availability budget: set maxUnavailable", spec.Name)
	}
	fields := []struct {
		name string
		text string
		to   *limit
	}{
		{"maxUnavailable", spec.MaxUnavailable, &p.total},
		{"maxUnavailablePerRack", spec.MaxUnavailablePerRack, &p.perRack},
		{"maxUnavailablePerDataCentre", spec.MaxUnavailablePerDataCentre, &p.perDataCentre},
	}
	for _, f := range fields {
		a, err := parseLimit(f.text)
		if err != nil {
			return Pool{}, eris.Wrapf(err, "pool %q: %s", spec.Name, f.name)
		}
		*f.to = a
	}
	return p, nil
}

// Name returns the name of the pool.
func (p Pool) Name() string { return p.spec.Name }

// Spare reports whether this is the spare pool.
func (p Pool) Spare() bool { return p.spec.Spare }

// Spec returns the document of the pool.
func (p Pool) Spec() Spec { return p.spec }

// MaxUnavailable returns how many instances of a pool of the given size may be out of service at a time.
func (p Pool) MaxUnavailable(size int) int { return p.total.of(size) }

// MaxUnavailablePerRack returns how many instances of a pool of the given size may be out of service in one rack.
func (p Pool) MaxUnavailablePerRack(size int) int { return p.perRack.of(size) }

// MaxUnavailablePerDataCentre returns how many instances of a pool of the given size may be out of service in
// one data centre.
func (p Pool) MaxUnavailablePerDataCentre(size int) int { return p.perDataCentre.of(size) }

// MaxMovable returns how many instances of a pool of the given size may move to other pools. Enough instances
// stay that the availability budget allows one of them to be down. A smaller pool could never be maintained.
func (p Pool) MaxMovable(size int) int {
	for moved := range size {
		if remaining := size - moved - 1; min(p.MaxUnavailable(remaining), p.MaxUnavailablePerRack(remaining), p.MaxUnavailablePerDataCentre(remaining)) < 1 {
			return moved
		}
	}
	return size
}

// limit is a number of instances or a fraction of a pool. The zero value means no limit.
type limit struct {
	set      bool
	count    int
	fraction float64
}

// of returns the limit for a pool of the given size.
func (a limit) of(size int) int {
	switch {
	case !a.set:
		return size
	case a.fraction > 0:
		// Rounding down keeps the budget. The added 1e-9 compensates the rounding error of the product.
		return int(math.Floor(a.fraction*float64(size) + 1e-9))
	}
	return min(a.count, size)
}

// parseLimit parses a count such as "2" or a percentage such as "20%". The empty text is no limit.
func parseLimit(text string) (limit, error) {
	if text == "" {
		return limit{}, nil
	}
	if percent, ok := strings.CutSuffix(text, "%"); ok {
		value, err := strconv.ParseFloat(percent, 64)
		if err != nil || !(value > 0 && value <= 100) {
			return limit{}, eris.Errorf("%q is not a percentage above 0%% and up to 100%%", text)
		}
		return limit{set: true, fraction: value / 100}, nil
	}
	count, err := strconv.Atoi(text)
	if err != nil || count < 0 {
		return limit{}, eris.Errorf("%q is neither a count nor a percentage", text)
	}
	return limit{set: true, count: count}, nil
}
