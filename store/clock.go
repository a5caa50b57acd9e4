package store

import (
	"sync"
	"time"

	"github.com/chivetiller/chivetiller/common/clock"
)

// Clock follows the steady clock of the store, which all processes share. It is safe for concurrent use.
type Clock struct {
	mu     sync.Mutex
	offset time.Duration
	known  bool
	// heard is when an answer came last, on the own clock.
	heard time.Duration
}

// awayAfter is after which time without an answer the store counts as away. Every process reads from it each 0.4 s, and a slow
// store takes up to 0.3 s.
const awayAfter = time.Second

// Update takes the clock in an answer of the store that came just now.
func (c *Clock) Update(now time.Duration) {
	if now == 0 {
		return
	}
	own := clock.Now()
	offset := now - own
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard = own
	// An answer that was long on its way shows less than the store's clock.
	if !c.known || offset > c.offset {
		c.offset, c.known = offset, true
	}
}

// Unreachable reports whether the store has not answered this process for a while.
func (c *Clock) Unreachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return clock.Now()-c.heard > awayAfter
}

// Now returns the time on the clock of the store, and false before the first answer.
func (c *Clock) Now() (time.Duration, bool) { return c.At(clock.Now()) }

// At returns the time on the clock of the store at an own time.
func (c *Clock) At(own time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return own + c.offset, c.known
}
