package config

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// WhenUnreachable selects what happens to keyed work while an entry instance cannot confirm that its
// configuration is current, because neither the platform nor a peer that can reach it is reachable.
type WhenUnreachable string

// Values of WhenUnreachable.
const (
	// WhenUnreachableRefuse rejects keyed work once the freshness bound has passed.
	WhenUnreachableRefuse WhenUnreachable = "refuse"
	// WhenUnreachableBounded admits keyed work until the longer BoundedFreshness has passed. A revocation
	// can stay pending for that long.
	WhenUnreachableBounded WhenUnreachable = "bounded"
)

// Defaults of a Policy.
const (
	DefaultKeyFreshness     = 2 * time.Second
	DefaultBoundedFreshness = 5 * time.Minute
)

// ErrKeysStale means that keys cannot be checked, because the last confirmation of the configuration is too old.
var ErrKeysStale = errors.New("keys cannot be checked: the configuration has not been confirmed for too long")

// ErrUnknownKey means that a key belongs to no team or operator.
var ErrUnknownKey = errors.New("key is missing, invalid or withdrawn")

// Policy decides how long keys are trusted after the last confirmation of the configuration. All parts of the
// process use it for that decision.
type Policy struct {
	// KeyFreshness is the greatest age of a confirmation with WhenUnreachableRefuse. The default is 2 s.
	KeyFreshness time.Duration
	// WhenUnreachable is WhenUnreachableRefuse by default.
	WhenUnreachable WhenUnreachable
	// BoundedFreshness is the greatest age of a confirmation with WhenUnreachableBounded. The default is 5 min,
	// or KeyFreshness if that is longer.
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

// Check returns an error if a value is out of range.
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

// FreshnessBound returns the greatest age of a confirmation at which keyed work is admitted. A revocation is in
// force everywhere at the latest this long after it was accepted, also in instances that cannot be reached.
func (p Policy) FreshnessBound() time.Duration {
	p = p.withDefaults()
	if p.WhenUnreachable == WhenUnreachableBounded {
		return p.BoundedFreshness
	}
	return p.KeyFreshness
}

// CheckAge returns nil if keys can be trusted at this age of the last confirmation, and [ErrKeysStale] otherwise.
// The flag known is false if there has been no confirmation yet.
func (p Policy) CheckAge(age time.Duration, known bool) error {
	if !known || age > p.FreshnessBound() {
		return ErrKeysStale
	}
	return nil
}
