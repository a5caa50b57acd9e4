package logging

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Buffered is a writer that passes lines on in the background, so that a slow or missing reader of the log never
// blocks the program. Lines that do not fit into the buffer are dropped and counted. It is safe for concurrent use.
type Buffered struct {
	lines    chan []byte
	maxBytes int64
	// held counts the bytes of the lines that are not written yet.
	held    atomic.Int64
	dropped atomic.Uint64
	done    sync.WaitGroup
	mu      sync.RWMutex
	closed  bool
}

// NewBuffered returns a writer that buffers up to a number of lines and of bytes for w. The caller has to close it.
func NewBuffered(w io.Writer, lines int, bytes int64) *Buffered {
	b := &Buffered{lines: make(chan []byte, lines), maxBytes: bytes}
	b.done.Go(func() { b.run(w) })
	return b
}

// Write implements [io.Writer]. It never blocks and never fails. Lines written after Close are discarded.
func (b *Buffered) Write(p []byte) (int, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.closed {
		return len(p), nil
	}
	size := int64(len(p))
	if b.held.Add(size) > b.maxBytes {
		b.drop(size)
		return len(p), nil
	}
	select {
	case b.lines <- bytes.Clone(p):
	default:
		b.drop(size)
	}
	return len(p), nil
}

func (b *Buffered) drop(size int64) {
	b.held.Add(-size)
	b.dropped.Add(1)
}

// Dropped returns the number of lines dropped so far.
func (b *Buffered) Dropped() uint64 { return b.dropped.Load() }

// Close writes the buffered lines and returns when the underlying writer has taken or refused them. It always
// returns nil.
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
	var written time.Time
	for line := range b.lines {
		// Under load, the lines of one interval are written with one system call.
		time.Sleep(time.Until(written.Add(writeInterval)))
		buffer = append(buffer[:0], line...)
		// Write waiting lines in batches to save system calls.
		for range min(len(b.lines), maxBatchLines) {
			buffer = append(buffer, <-b.lines...)
		}
		size := int64(len(buffer))
		if dropped := b.dropped.Load(); dropped > reported {
			buffer = fmt.Appendf(buffer, "logging: %d lines were dropped\n", dropped-reported)
			reported = dropped
		}
		b.writeAll(w, buffer)
		b.held.Add(-size)
		written = time.Now()
	}
}

const (
	// writeAttempts is the number of attempts to write a batch before the rest of it is dropped.
	writeAttempts = 50
	// writeRetryInterval is the pause after a failed attempt.
	writeRetryInterval = 20 * time.Millisecond
)

// writeAll writes the buffer, and tries again after errors and partial writes.
func (b *Buffered) writeAll(w io.Writer, buffer []byte) {
	for failures := 0; failures < writeAttempts && len(buffer) > 0; {
		n, err := w.Write(buffer[:writeSize(buffer)])
		buffer = buffer[n:]
		if err != nil || n == 0 {
			failures++
			time.Sleep(writeRetryInterval)
		}
	}
	b.dropped.Add(uint64(bytes.Count(buffer, []byte{'\n'})))
}

// writeSize returns the size of the whole lines that fit into one write, and that of the first line if it is longer.
func writeSize(buffer []byte) int {
	if len(buffer) <= maxWriteBytes {
		return len(buffer)
	}
	if end := bytes.LastIndexByte(buffer[:maxWriteBytes], '\n') + 1; end > 0 {
		return end
	}
	return cmp.Or(bytes.IndexByte(buffer, '\n')+1, len(buffer))
}

// maxBatchLines is the number of further lines that are written together with the first.
const maxBatchLines = 512

// maxWriteBytes is the maximum size of a write of several lines. Longer writes to a pipe are not atomic, and a reader may cut them off.
const maxWriteBytes = 4 << 10

// writeInterval is the minimum time between two writes.
const writeInterval = 10 * time.Millisecond
