package runtimes_test

import (
	"testing"
	"time"

	"github.com/chivetiller/chivetiller/internal/jobs/runtimes"
)

// BenchmarkExpect measures what is expected of a task, and that given the tasks of its step.
func BenchmarkExpect(b *testing.B) {
	l, m := newLoad(1), runtimes.New()
	l.teach(m, 1000, 0)
	s := l.job()[0]
	b.Run("class", func(b *testing.B) {
		for b.Loop() {
			e := m.Expect(s.class)
			e.Median()
			e.Mean()
		}
	})
	b.Run("step", func(b *testing.B) {
		e := m.Expect(s.class)
		for b.Loop() {
			e.Given(s.took[:4], s.took[4:])
		}
	})
	b.Run("observe", func(b *testing.B) {
		now := time.Duration(0)
		for b.Loop() {
			now += time.Millisecond
			m.Observe(s.class, s.took[0], now)
		}
	})
}
