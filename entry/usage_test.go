package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/queue"
)

// TestUsageEncoding guards against usage that is assigned to another team or pool, and against malformed data that is accepted.
func TestUsageEncoding(t *testing.T) {
	tests := map[string]struct{ all map[string][]queue.Usage }{
		"two pools": {all: map[string][]queue.Usage{
			"desk":  {{Class: "swap", Team: "supervisors", SlotTime: 1500 * time.Millisecond}, {Class: "swap", Team: "office", SlotTime: time.Hour}},
			"board": {{Class: "flags", Team: "", SlotTime: time.Millisecond}},
		}},
		"empty pool": {all: map[string][]queue.Usage{"desk": {}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			body, err := encodeUsage(tt.all)
			qt.Assert(t, err, qt.IsNil)
			got, err := decodeUsage(body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.DeepEquals, tt.all)
		})
	}
	body, err := encodeUsage(nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.HasLen, 0)
	_, err = decodeUsage([]byte{0xff, 0x00})
	qt.Assert(t, err, qt.IsNotNil)
}
