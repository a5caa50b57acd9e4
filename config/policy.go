package config

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// WhenUnreachable says what happens to keyed work when the configuration can no longer be confirmed.
type WhenUnreachable string

// Ways to treat keyed work in an entry instance that is cut off.
const (
	// WhenUnreachableRefuse rejects keyed work once the freshness bound has passed.
	WhenUnreachableRefuse WhenUnreachable = "refuse"
	// WhenUnreachableBounded admits keyed work for a longer term, so that a withdrawal stays pending for that term.
	WhenUnreachableBounded WhenUnreachable = "bounded"
)

// Defaults of a Policy.
const (
	DefaultKeyFreshness     = 2 * time.Second
	DefaultBoundedFreshness = 5 * time.Minute
)

// ErrKeysStale means that keys cannot be checked, because the configuration has not been confirmed for too long.
var ErrKeysStale = errors.New("keys cannot be checked: the configuration has not been confirmed for too long")

// ErrUnknownKey means that a key belongs to nobody.
var ErrUnknownKey = errors.New("key is missing, invalid or withdrawn")

// Policy decides how long keys are trusted without a confirmation. It is the only place of that decision.
type Policy struct {
	// KeyFreshness is the bound in normal operation. The default is 2 s.
	KeyFreshness time.Duration
	// WhenUnreachable is Refuse by default.
	WhenUnreachable WhenUnreachable
	// BoundedFreshness is the bound if WhenCutOff is Bounded. The default is 5 min.
	BoundedFreshness time.Duration
}

// withDefaults fills in the zero fields.
func (p Policy) withDefaults() Policy {
	if p.KeyFreshness == 0 {
		p.KeyFreshness = DefaultKeyFreshness
	}
	if p.WhenUnreachable == "" {
		p.WhenUnreachable = WhenUnreachableRefuse
	}
	if p.BoundedFreshness == 0 {
		p.BoundedFreshness = max(DefaultBoundedFreshness, p.KeyFreshness)
	}
	return p
}

// Check returns an error if the policy contradicts itself.
func (p Policy) Check() error {
	p = p.withDefaults()
	switch {
	case p.KeyFreshness < 0:
		return eris.Errorf("keyFreshness %s is not positive", p.KeyFreshness)
	case p.WhenUnreachable != WhenUnreachableRefuse && p.WhenUnreachable != WhenUnreachableBounded:
		return eris.Errorf("keys.whenCutOff %q is neither refuse nor bounded", p.WhenUnreachable)
	case p.BoundedFreshness < p.KeyFreshness:
		return eris.Errorf("keys.term %s is shorter than keyFreshness %s", p.BoundedFreshness, p.KeyFreshness)
	}
	return nil
}

// FreshnessBound is the greatest age of a confirmation with which keyed work is admitted. A withdrawal is
// in force everywhere at the latest this long after it was accepted, also where nobody can report it.
func (p Policy) FreshnessBound() time.Duration {
	p = p.withDefaults()
	if p.WhenUnreachable == WhenUnreachableBounded {
		return p.BoundedFreshness
	}
	return p.KeyFreshness
}

// CheckAge returns nil if keys may be trusted at this age of the confirmation, and [ErrKeysStale] otherwise.
func (p Policy) CheckAge(age time.Duration, known bool) error {
	if !known || age > p.FreshnessBound() {
		return ErrKeysStale
	}
	return nil
}
