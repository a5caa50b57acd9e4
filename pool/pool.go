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

// Spec is the document of a pool.
type Spec struct {
	Name string `yaml:"name" json:"name"`
	// MaxUnavailable is the availability budget: how many instances may be out of service at a time,
	// as a count ("2") or a fraction of the pool ("20%").
	MaxUnavailable string `yaml:"maxUnavailable" json:"maxUnavailable"`
	// MaxUnavailablePerRack and MaxUnavailablePerDataCentre bound the loss in one failure domain. They are optional.
	MaxUnavailablePerRack       string `yaml:"maxUnavailablePerRack,omitempty" json:"maxUnavailablePerRack,omitempty"`
	MaxUnavailablePerDataCentre string `yaml:"maxUnavailablePerDataCentre,omitempty" json:"maxUnavailablePerDataCentre,omitempty"`
	// Spare marks the pool from which others grow.
	Spare bool `yaml:"spare,omitempty" json:"spare,omitempty"`
}

// Pool is a checked pool.
type Pool struct {
	spec          Spec
	total         amount
	perRack       amount
	perDataCentre amount
}

// New checks a document and returns its pool.
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
		to   *amount
	}{
		{"maxUnavailable", spec.MaxUnavailable, &p.total},
		{"maxUnavailablePerRack", spec.MaxUnavailablePerRack, &p.perRack},
		{"maxUnavailablePerDataCentre", spec.MaxUnavailablePerDataCentre, &p.perDataCentre},
	}
	for _, f := range fields {
		a, err := parseAmount(f.text)
		if err != nil {
			return Pool{}, eris.Wrapf(err, "pool %q: %s", spec.Name, f.name)
		}
		*f.to = a
	}
	return p, nil
}

// Name returns the name of the pool.
func (p Pool) Name() string { return p.spec.Name }

// Spare reports whether other pools grow from this one.
func (p Pool) Spare() bool { return p.spec.Spare }

// Spec returns the document of the pool.
func (p Pool) Spec() Spec { return p.spec }

// MaxUnavailable returns how many of size instances may be out of service at a time.
func (p Pool) MaxUnavailable(size int) int { return p.total.of(size) }

// MaxUnavailablePerRack returns how many instances of the pool may be out of service in one rack.
func (p Pool) MaxUnavailablePerRack(size int) int { return p.perRack.of(size) }

// MaxUnavailablePerDataCentre returns how many instances of the pool may be out of service in one data centre.
func (p Pool) MaxUnavailablePerDataCentre(size int) int { return p.perDataCentre.of(size) }

// MaxMovable returns how many of size instances may leave the pool for good. At least so many stay that the
// budget allows a stop; a smaller pool could never be maintained.
func (p Pool) MaxMovable(size int) int {
	for give := range size {
		if rest := size - give - 1; min(p.MaxUnavailable(rest), p.MaxUnavailablePerRack(rest), p.MaxUnavailablePerDataCentre(rest)) < 1 {
			return give
		}
	}
	return size
}

// amount is a count or a fraction. The zero amount is unlimited.
type amount struct {
	set      bool
	count    int
	fraction float64
}

func (a amount) of(size int) int {
	switch {
	case !a.set:
		return size
	case a.fraction > 0:
		// Rounded down, so that the budget is never exceeded.
		return int(math.Floor(a.fraction*float64(size) + 1e-9))
	}
	return min(a.count, size)
}

func parseAmount(text string) (amount, error) {
	if text == "" {
		return amount{}, nil
	}
	if percent, ok := strings.CutSuffix(text, "%"); ok {
		value, err := strconv.ParseFloat(percent, 64)
		if err != nil || !(value > 0 && value <= 100) {
			return amount{}, eris.Errorf("%q is not a percentage above 0%% and up to 100%%", text)
		}
		return amount{set: true, fraction: value / 100}, nil
	}
	count, err := strconv.Atoi(text)
	if err != nil || count < 0 {
		return amount{}, eris.Errorf("%q is neither a count nor a percentage", text)
	}
	return amount{set: true, count: count}, nil
}
