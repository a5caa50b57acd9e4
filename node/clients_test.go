package node

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/internal/settings/serving"
)

// TestRooms guards against clients that together may hold what the scheduler needs, and against limits below those of a single request.
func TestRooms(t *testing.T) {
	for name, test := range map[string]struct {
		memory      int64
		descriptors int
	}{
		"small":   {184 << 20, 4100},
		"large":   {536 << 20, 8192},
		"unknown": {0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			n := &Node{settings: Settings{Memory: test.memory, Descriptors: test.descriptors, Serving: serving.Default()}, source: catalog.NewSource(catalog.SourceOptions{})}
			memory, connections := int64(0), 0
			for room := range rooms {
				l := n.limits(room)
				memory += l.Memory
				connections += l.Connections
				// Memory for three quarters of the room, at three bytes for each of a body.
				qt.Assert(t, l.Memory*3/4 > l.Body*3, qt.IsTrue, qt.Commentf("%s: %+v", room, l))
				qt.Assert(t, l.Connections >= 16 && l.HalfRead > 0, qt.IsTrue, qt.Commentf("%s: %+v", room, l))
			}
			if test.memory > 0 {
				// With the quarter that connections which end may add.
				qt.Assert(t, memory*5/4 < test.memory/2, qt.IsTrue, qt.Commentf("%d bytes", memory))
				qt.Assert(t, connections*5/4 < test.descriptors-fileDescriptors, qt.IsTrue, qt.Commentf("%d connections", connections))
			}
		})
	}
}
