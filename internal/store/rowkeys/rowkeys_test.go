package rowkeys

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
)

// TestKeys guards against rows that another version of the program does not find, since their names have changed.
func TestKeys(t *testing.T) {
	for name, test := range map[string]struct{ got, want store.Key }{
		"job":        {Job("a1"), store.Key{Table: "job", Partition: "a", Name: "a1"}},
		"cancel":     {Cancel("a1"), store.Key{Table: "job", Partition: "a", Name: "a1.cancel"}},
		"no ID":      {Job(""), store.Key{Table: "job"}},
		"progress":   {Progress("a1"), store.Key{Table: "progress", Name: "a1"}},
		"first part": {Progress(PartName("a1", 0)), store.Key{Table: "progress", Name: "a1"}},
		"part":       {Progress(PartName("a1", 2)), store.Key{Table: "progress", Name: "a1/2"}},
		"wave":       {Progress(WaveName(7)), store.Key{Table: "progress", Name: "wave.7"}},
		"fleet":      {Fleet(CommandPrefix + "m1"), store.Key{Table: "fleet", Name: "command/m1"}},
		"learned":    {Snapshot("runTimes"), store.Key{Table: "fleet", Name: "learned/runTimes"}},
		"handover":   {Leadership(RowHandover), store.Key{Table: "duty", Name: "handover"}},
	} {
		t.Run(name, func(t *testing.T) { qt.Assert(t, test.got, qt.Equals, test.want) })
	}
}

// TestDecodeJob guards against a row that is taken for a job although it is not one, or not a valid one.
func TestDecodeJob(t *testing.T) {
	valid := work.Job{ID: "a", Pool: "p", Queue: "q", Steps: []work.Step{{Count: 1}}}
	value, err := EncodeJob(valid)
	qt.Assert(t, err, qt.IsNil)
	got, err := DecodeJob(store.Row{Value: value})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.ID, qt.Equals, "a")
	_, err = DecodeJob(store.Row{Value: value[1:]})
	qt.Assert(t, err, qt.IsNotNil)
	value, err = EncodeJob(work.Job{ID: "a"})
	qt.Assert(t, err, qt.IsNil)
	_, err = DecodeJob(store.Row{Value: value})
	qt.Assert(t, err, qt.IsNotNil)
}
