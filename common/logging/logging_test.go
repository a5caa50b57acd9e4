package logging_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/common/logging"
)

// TestLimiter guards against a repeated fault that fills the log, and against suppressed lines that are not counted.
func TestLimiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := logging.NewLimiter(time.Second)
		_, ok := l.Allow("a")
		qt.Assert(t, ok, qt.IsTrue)
		for range 5 {
			_, ok = l.Allow("a")
			qt.Assert(t, ok, qt.IsFalse)
		}
		_, ok = l.Allow("b")
		qt.Assert(t, ok, qt.IsTrue)
		time.Sleep(time.Second)
		dropped, ok := l.Allow("a")
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, dropped, qt.Equals, 5)
	})
}

// TestNew guards against an unknown format or level that is accepted.
func TestNew(t *testing.T) {
	var out bytes.Buffer
	logger, err := logging.New(&out, "info", "json")
	qt.Assert(t, err, qt.IsNil)
	logger.Named("part").Info("Part started.", "number", 3)
	logger.Debug("Hidden.")
	var line map[string]any
	qt.Assert(t, json.Unmarshal(out.Bytes(), &line), qt.IsNil)
	qt.Assert(t, line["@module"], qt.Equals, "chivetiller.part")
	_, err = logging.New(&out, "loud", "json")
	qt.Assert(t, err, qt.ErrorMatches, `log level "loud" is unknown`)
	_, err = logging.New(&out, "info", "xml")
	qt.Assert(t, err, qt.ErrorMatches, `log format "xml" is neither text nor json`)
}

// blockedWriter blocks each write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	return s.Buffer.Write(p)
}

// TestBuffered guards against a process that blocks on the reader of its log, and against dropped lines that the log
// does not mention.
func TestBuffered(t *testing.T) {
	output := &blockedWriter{unblock: make(chan struct{})}
	b := logging.NewBuffered(output, 2, 1<<20)
	for i := range 100 {
		_, err := fmt.Fprintf(b, "line %d\n", i)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, b.Dropped() >= 90, qt.IsTrue)
	close(output.unblock)
	qt.Assert(t, b.Close(), qt.IsNil)
	qt.Assert(t, output.String(), qt.Contains, "line 0\n")
	qt.Assert(t, output.String(), qt.Contains, "lines were dropped")
}

// TestBufferedBytes guards against lines with long texts of clients that fill the memory while the log is not read, and against a buffer that
// drops lines although it has been written.
func TestBufferedBytes(t *testing.T) {
	const lines, size, most = 1000, 16 << 10, 1 << 20
	output := &blockedWriter{unblock: make(chan struct{})}
	b := logging.NewBuffered(output, lines, most)
	line := []byte(strings.Repeat("x", size-1) + "\n")
	for range lines {
		_, err := b.Write(line)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, b.Dropped(), qt.Equals, uint64(lines-most/size))
	close(output.unblock)
	for range 500 {
		before := b.Dropped()
		if _, err := b.Write(line); err == nil && b.Dropped() == before {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	qt.Assert(t, b.Close(), qt.IsNil)
	qt.Assert(t, strings.Count(output.String(), string(line)), qt.Equals, most/size+1)
}

// writes records what each write has.
type writes []string

func (w *writes) Write(p []byte) (int, error) {
	*w = append(*w, string(p))
	return len(p), nil
}

// TestLongWrites guards against lines that a reader which takes a limited part of each write does not get, and against lines that are split.
func TestLongWrites(t *testing.T) {
	var output writes
	var want strings.Builder
	b := logging.NewBuffered(&output, 100, 1<<20)
	for _, size := range append(slices.Repeat([]int{1000}, 20), 6000, 1000, 4096, 1, 4095) {
		fmt.Fprintln(io.MultiWriter(b, &want), strings.Repeat("x", size-1))
	}
	qt.Assert(t, b.Close(), qt.IsNil)
	qt.Assert(t, strings.Join(output, ""), qt.Equals, want.String())
	for _, text := range output {
		qt.Assert(t, strings.HasSuffix(text, "\n") && (len(text) <= 4096 || strings.Count(text, "\n") == 1), qt.IsTrue, qt.Commentf("a write of %d bytes", len(text)))
	}
}
