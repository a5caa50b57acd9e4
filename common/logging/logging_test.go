package logging_test

import (
	"bytes"
	"encoding/json"
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
