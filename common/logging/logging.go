// Package logging makes the logger of a process.
//
// # Usage
//
//	logger, err := logging.New(os.Stderr, "info", "json")
//	logger.Named("caller").Info("Listener started.", "address", address)
package logging

import (
	"io"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
)

// New returns a logger that writes lines of text or JSON ("text", "json") from the level on.
func New(w io.Writer, level, format string) (hclog.Logger, error) {
	l := hclog.LevelFromString(level)
	if l == hclog.NoLevel {
		return nil, eris.Errorf("log level %q is unknown", level)
	}
	if format != "text" && format != "json" {
		return nil, eris.Errorf("log format %q is neither text nor json", format)
	}
	return hclog.New(&hclog.LoggerOptions{
		Name:       "chivetiller",
		Level:      l,
		Output:     w,
		JSONFormat: format == "json",
		TimeFormat: time.RFC3339Nano,
		TimeFn:     func() time.Time { return time.Now().UTC() },
	}), nil
}

// maxLimiterKeys bounds the memory of a Limiter when keys come from outside.
const maxLimiterKeys = 1024

// Limiter thins out lines about a fault that repeats. It is safe for concurrent use.
type Limiter struct {
	interval time.Duration

	mu   sync.Mutex
	last map[string]limited
}

type limited struct {
	at      time.Time
	dropped int
}

// NewLimiter returns a Limiter that lets one line for each key pass in an interval.
func NewLimiter(interval time.Duration) *Limiter {
	return &Limiter{interval: interval, last: make(map[string]limited)}
}

// Allow reports whether a line with the key may be written now, and how many were dropped since the last one.
func (l *Limiter) Allow(key string) (dropped int, ok bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, seen := l.last[key]
	if seen && now.Sub(entry.at) < l.interval {
		entry.dropped++
		l.last[key] = entry
		return 0, false
	}
	if !seen && len(l.last) >= maxLimiterKeys {
		clear(l.last)
	}
	l.last[key] = limited{at: now}
	return entry.dropped, true
}
