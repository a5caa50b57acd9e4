package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Buffered writes lines in the background, so that a reader that is slow or gone never holds up the program.
// Lines that do not fit into the buffer are dropped and counted. It is safe for concurrent use.
type Buffered struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    sync.WaitGroup
	mu      sync.RWMutex
	closed  bool
}

// NewBuffered returns a writer that keeps up to size lines for w.
func NewBuffered(w io.Writer, size int) *Buffered {
	b := &Buffered{lines: make(chan []byte, size)}
	b.done.Go(func() { b.run(w) })
	return b
}

// Write implements [io.Writer]. It never blocks and never fails.
func (b *Buffered) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.closed {
		return len(p), nil
	}
	select {
	case b.lines <- line:
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines were dropped.
func (b *Buffered) Dropped() uint64 { return b.dropped.Load() }

// Close writes what is buffered. It blocks as long as the reader does.
func (b *Buffered) Close() error {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	b.done.Wait()
	return nil
}

func (b *Buffered) run(w io.Writer) {
	var reported uint64
	var buffer []byte
	for line := range b.lines {
		buffer = append(buffer[:0], line...)
		// Lines that wait are written together, which saves calls of the system.
		for range min(len(b.lines), maxTogether) {
			buffer = append(buffer, <-b.lines...)
		}
		if dropped := b.dropped.Load(); dropped > reported {
			buffer = fmt.Appendf(buffer, "logging: %d lines were dropped\n", dropped-reported)
			reported = dropped
		}
		b.writeAll(w, buffer)
	}
}

const (
	// writeAttempts is how often a reader that takes nothing is tried before the lines are dropped.
	writeAttempts = 50
	// writePause is the time between two attempts.
	writePause = 20 * time.Millisecond
)

// writeAll writes the buffer as the reader takes it.
func (b *Buffered) writeAll(w io.Writer, buffer []byte) {
	for range writeAttempts {
		n, err := w.Write(buffer)
		buffer = buffer[n:]
		if err == nil || len(buffer) == 0 {
			return
		}
		time.Sleep(writePause)
	}
	b.dropped.Add(uint64(bytes.Count(buffer, []byte{'\n'})))
}

// maxTogether is how many lines are written by one call.
const maxTogether = 64
