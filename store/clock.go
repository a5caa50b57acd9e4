package store

import (
	"sync"
	"time"

	"github.com/chivetiller/chivetiller/common/clock"
)

// Clock estimates the monotonic time of the store, which all processes share. It is safe for concurrent use.
type Clock struct {
	mu     sync.Mutex
	offset time.Duration
	known  bool
	// lastReply is when the last reply of the store was received, in local monotonic time.
	lastReply time.Duration
}

// unreachableAfter is the time without a reply after which the store counts as unreachable. Every process reads from the store every
// 0.4 s, and a slow store takes up to 0.3 s.
const unreachableAfter = time.Second

// Update records the monotonic time in a reply of the store that was just received. It ignores 0, which stands for no time.
func (c *Clock) Update(now time.Duration) {
	if now == 0 {
		return
	}
	local := clock.Now()
	offset := now - local
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReply = local
	// A delayed reply shows an earlier time than the store has now, so the largest offset is the most accurate.
	if !c.known || offset > c.offset {
		c.offset, c.known = offset, true
	}
}

// Unreachable reports whether this process has received no reply of the store for more than unreachableAfter.
func (c *Clock) Unreachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return clock.Now()-c.lastReply > unreachableAfter
}

// Now returns the current monotonic time of the store, and false before the first reply.
func (c *Clock) Now() (time.Duration, bool) { return c.At(clock.Now()) }

// At converts a local monotonic time into that of the store. It returns false before the first reply.
func (c *Clock) At(local time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return local + c.offset, c.known
}
