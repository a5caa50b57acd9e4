package config

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// WhenCutOff says what happens to keyed work when the configuration can no longer be confirmed.
type WhenCutOff string

// Ways to treat keyed work in an entry instance that is cut off.
const (
	// Refuse rejects keyed work once the freshness bound has passed.
	Refuse WhenCutOff = "refuse"
	// Bounded admits keyed work for a longer term, so that a withdrawal stays pending for that term.
	Bounded WhenCutOff = "bounded"
)

// Defaults of a Policy.
const (
	DefaultKeyFreshness = 2 * time.Second
	DefaultTerm         = 5 * time.Minute
)

// ErrKeysStale means that keys cannot be checked, because the configuration has not been confirmed for too long.
var ErrKeysStale = errors.New("keys cannot be checked: the configuration has not been confirmed for too long")

// ErrUnknownKey means that a key belongs to nobody.
var ErrUnknownKey = errors.New("key is missing, invalid or withdrawn")

// Policy decides how long keys are trusted without a confirmation. It is the only place of that decision.
type Policy struct {
	// KeyFreshness is the bound in normal operation. The default is 2 s.
	KeyFreshness time.Duration
	// WhenCutOff is Refuse by default.
	WhenCutOff WhenCutOff
	// Term is the bound if WhenCutOff is Bounded. The default is 5 min.
	Term time.Duration
}

// withDefaults fills in the zero fields.
func (p Policy) withDefaults() Policy {
	if p.KeyFreshness == 0 {
		p.KeyFreshness = DefaultKeyFreshness
	}
	if p.WhenCutOff == "" {
		p.WhenCutOff = Refuse
	}
	if p.Term == 0 {
		p.Term = max(DefaultTerm, p.KeyFreshness)
	}
	return p
}

// Check returns an error if the policy contradicts itself.
func (p Policy) Check() error {
	p = p.withDefaults()
	switch {
	case p.KeyFreshness < 0:
		return eris.Errorf("keyFreshness %s is not positive", p.KeyFreshness)
	case p.WhenCutOff != Refuse && p.WhenCutOff != Bounded:
		return eris.Errorf("keys.whenCutOff %q is neither refuse nor bounded", p.WhenCutOff)
	case p.Term < p.KeyFreshness:
		return eris.Errorf("keys.term %s is shorter than keyFreshness %s", p.Term, p.KeyFreshness)
	}
	return nil
}

// Bound is the greatest age of a confirmation with which keyed work is admitted. A withdrawal is
// in force everywhere at the latest this long after it was accepted, also where nobody can report it.
func (p Policy) Bound() time.Duration {
	p = p.withDefaults()
	if p.WhenCutOff == Bounded {
		return p.Term
	}
	return p.KeyFreshness
}

// Admit returns nil if keys may be trusted at this age of the confirmation, and [ErrKeysStale] otherwise.
func (p Policy) Admit(age time.Duration, known bool) error {
	if !known || age > p.Bound() {
		return ErrKeysStale
	}
	return nil
}
