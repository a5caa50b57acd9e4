package caller_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestWholePath guards against a request that is changed on the way to its endpoint, or whose response does not reach
// its caller.
func TestWholePath(t *testing.T) {
	tests := map[string]struct {
		method, path, body string
		headers            []string
		wantPath           string
	}{
		"get":            {method: "GET", path: "/work/swap/towers", wantPath: "/towers"},
		"post":           {method: "POST", path: "/work/swap/towers", body: "tower 3", wantPath: "/towers"},
		"open class":     {method: "GET", path: "/work/board/flags?day=1", headers: []string{"Authorization: none"}, wantPath: "/flags?day=1"},
		"claimed":        {method: "POST", path: "/work/swap/flag", body: "red", headers: []string{"Idempotency-Key: a1"}, wantPath: "/flag"},
		"empty path":     {method: "GET", path: "/work/swap", wantPath: "/"},
		"escaped path":   {method: "PUT", path: "/work/swap/a%2Fb//c", body: "x", wantPath: "/a%2Fb//c"},
		"leading slash":  {method: "PUT", path: "/work/swap//host/c", body: "x", wantPath: "//host/c"},
		"query":          {method: "DELETE", path: "/work/swap/a?b=c&d=%20e", wantPath: "/a?b=c&d=%20e"},
		"unusual method": {method: "PURGE", path: "/work/swap/a", wantPath: "/a"},
	}
	r := newRig(t, rigOptions{endpoints: 2})
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			before := len(r.runs())
			a := r.send(t.Context(), test.method, test.path, test.body, test.headers...)
			c.Assert(a.err, qt.IsNil)
			c.Assert(a.status, qt.Equals, 200, qt.Commentf("%s", a.body))
			c.Assert(a.body, qt.Equals, test.body)
			c.Assert(r.runs(), qt.HasLen, before+1)
			id := a.header.Get("Chivetiller-Request-Id")
			for _, run := range r.runs() {
				if run.RequestID == id {
					c.Assert(run.Path, qt.Equals, test.wantPath)
					c.Assert(run.Method, qt.Equals, test.method)
					return
				}
			}
			c.Fatalf("no run has the request ID %q", id)
		})
	}
}
