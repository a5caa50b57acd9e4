package logging_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/common/logging"
)

// TestLimiter guards against a fault that repeats and fills the log, and against a silent loss of lines.
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

// TestNew guards against a format or level that is accepted and then ignored.
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

// stuckReader takes nothing until it is freed.
type stuckReader struct {
	free chan struct{}
	bytes.Buffer
}

func (s *stuckReader) Write(p []byte) (int, error) {
	<-s.free
	return s.Buffer.Write(p)
}

// TestBuffered guards against a process that waits for the reader of its log, and against a loss of lines that nobody is told of.
func TestBuffered(t *testing.T) {
	reader := &stuckReader{free: make(chan struct{})}
	b := logging.NewBuffered(reader, 2)
	for i := range 100 {
		_, err := fmt.Fprintf(b, "line %d\n", i)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, b.Dropped() >= 90, qt.IsTrue)
	close(reader.free)
	qt.Assert(t, b.Close(), qt.IsNil)
	qt.Assert(t, reader.String(), qt.Contains, "line 0\n")
	qt.Assert(t, reader.String(), qt.Contains, "lines were dropped")
}
