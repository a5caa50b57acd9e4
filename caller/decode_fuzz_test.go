package caller

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// FuzzDecode guards against request heads that crash the entry instance, that reach the endpoint as a different request, or that carry the key of a team to the endpoint.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		c := qt.New(t)
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		w, p := decodeHead(r, DefaultMaxHeader)
		if p != nil {
			c.Assert(p.NotRun(), qt.IsTrue)
			c.Assert(p.Kind().Status >= 400 && p.Kind().Status < 500, qt.IsTrue)
			return
		}
		c.Assert(w.class, qt.Not(qt.Equals), "")
		c.Assert(w.timeout >= 0, qt.IsTrue)
		c.Assert(len(w.idempotencyKey) <= maxIdempotencyKey, qt.IsTrue)
		c.Assert(w.idempotent && w.idempotencyKey != "", qt.IsFalse)

		// What is sent to the endpoint is read back as one request with the same path and no key.
		var sent bytes.Buffer
		out := &http.Request{Method: w.method, URL: w.url, Host: "127.0.0.1:1", Header: w.header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
		c.Assert(out.Write(&sent), qt.IsNil)
		reader := bufio.NewReader(&sent)
		back, err := http.ReadRequest(reader)
		c.Assert(err, qt.IsNil, qt.Commentf("%q", data))
		c.Assert(reader.Buffered(), qt.Equals, 0)
		c.Assert(back.Method, qt.Equals, w.method)
		c.Assert(back.Header.Get("Authorization"), qt.Equals, "")
		c.Assert(back.URL.RawQuery, qt.Equals, w.url.RawQuery)
		rest := strings.TrimPrefix(r.URL.EscapedPath(), workPrefix)
		_, path, _ := strings.Cut(rest, "/")
		c.Assert(back.URL.EscapedPath(), qt.Equals, "/"+path)
	})
}
