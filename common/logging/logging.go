// Package logging provides the logger of a process, a non-blocking writer for its output and a rate limiter for
// repeated lines.
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

// New returns a logger that writes lines of at least the given level. The format is "text" or "json". It returns an
// error if the level or the format is unknown.
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

// Shorten returns the first bytes of a text that comes from a client or another process, at most a number of them.
func Shorten(text string, most int) string { return text[:min(len(text), most)] }

// maxLimiterKeys bounds the memory of a Limiter whose keys come from clients or peers. All keys are cleared when the
// limit is reached.
const maxLimiterKeys = 1024

// Limiter limits the rate of log lines about a repeated fault. It is safe for concurrent use.
type Limiter struct {
	interval time.Duration

	mu   sync.Mutex
	keys map[string]keyState
}

type keyState struct {
	writtenAt time.Time
	dropped   int
}

// NewLimiter returns a Limiter that allows one line for each key in an interval.
func NewLimiter(interval time.Duration) *Limiter {
	return &Limiter{interval: interval, keys: make(map[string]keyState)}
}

// Allow reports whether a line with the key may be written now. If so, dropped is the number of lines that were
// suppressed since the last one.
func (l *Limiter) Allow(key string) (dropped int, ok bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, known := l.keys[key]
	if known && now.Sub(entry.writtenAt) < l.interval {
		entry.dropped++
		l.keys[key] = entry
		return 0, false
	}
	if !known && len(l.keys) >= maxLimiterKeys {
		clear(l.keys)
	}
	l.keys[key] = keyState{writtenAt: now}
	return entry.dropped, true
}
