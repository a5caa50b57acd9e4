package scheduler

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
)

var (
	idleModelSeeds = flag.Uint64("idle.seeds", 6, "number of seeds of the model of services on instances")
	idleModelOne   = flag.String("idle.play", "", "play of the model of services on instances, as JSON, that is played alone and logged, or @ and a file of plays, one a line")
)

// describe returns a play in the form that -idle.play takes.
func (p idleModelPlay) describe() string {
	data, err := json.Marshal(p)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// TestServiceMarginOnInstances guards against a task of a service that does not run although workers have room, beside disruptions of workers,
// instances, leaders, store and orders: none comes nearer than a second to what the users count as lost.
func TestServiceMarginOnInstances(t *testing.T) {
	if file, ok := strings.CutPrefix(*idleModelOne, "@"); ok {
		playFile(t, file)
		return
	}
	if *idleModelOne != "" {
		playLogged(t, decodeIdleModelPlay(t, *idleModelOne))
		return
	}
	for seed := range *idleModelSeeds {
		p := newIdleModelPlay(seed)
		start := time.Now()
		r := newIdleModel(p).run()
		t.Logf("seed %d: %v, %v", seed, r, time.Since(start))
		qt.Check(t, r.margin >= idleReserve, qt.IsTrue, qt.Commentf("%v: %s", r, p.describe()))
	}
}

// TestServiceMarginOfKnownPlays guards against causes of services that do not run which the search has found before.
func TestServiceMarginOfKnownPlays(t *testing.T) { playDirectory(t, "testdata/idle") }

// TestServiceMarginOfOpenPlays guards against the causes that are not fixed yet.
func TestServiceMarginOfOpenPlays(t *testing.T) { playDirectory(t, "testdata/idleopen") }

// playDirectory plays each play in a directory.
func playDirectory(t *testing.T, directory string) {
	files, err := filepath.Glob(filepath.Join(directory, "*.json"))
	qt.Assert(t, err, qt.IsNil)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			qt.Assert(t, err, qt.IsNil)
			r := newIdleModel(decodeIdleModelPlay(t, string(data))).run()
			t.Log(r)
			qt.Assert(t, r.margin >= idleReserve, qt.IsTrue, qt.Commentf("%v", r))
		})
	}
}

func decodeIdleModelPlay(t *testing.T, data string) (p idleModelPlay) {
	qt.Assert(t, json.Unmarshal([]byte(data), &p), qt.IsNil)
	return p
}

// playFile plays the plays of a file.
func playFile(t *testing.T, file string) {
	data, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	for i, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
		r := newIdleModel(decodeIdleModelPlay(t, line)).run()
		t.Logf("play %d: %v", i+1, r)
		qt.Check(t, r.margin >= idleReserve, qt.IsTrue)
	}
}

// playLogged plays with the log of the leaders.
func playLogged(t *testing.T, p idleModelPlay) {
	m := newIdleModel(p)
	m.trace = t.Logf
	m.faults.log = hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: testWriter{t, m}, DisableTime: true})
	m.terms = 0
	m.elect(true)
	t.Log(m.run())
}

// testWriter writes the log of a play with its virtual time.
type testWriter struct {
	t *testing.T
	m *idleModel
}

func (w testWriter) Write(data []byte) (int, error) {
	w.t.Logf("%v %s", w.m.now-idleModelStart, data)
	return len(data), nil
}
