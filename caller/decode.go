package caller

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
	"time"

	"github.com/chivetiller/chivetiller/common/problem"
)

// Headers of requests.
const (
	// HeaderTimeout shortens the deadline, such as "800ms".
	HeaderTimeout = "Chivetiller-Timeout"
	// HeaderIdempotencyKey marks a request that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderStored marks a response that was stored for an earlier request with the same Idempotency-Key.
	HeaderStored = "Chivetiller-Stored"

	headerTraceParent = "Traceparent"
	ownPrefix         = "Chivetiller-"
	workPrefix        = "/work/"
)

// maxIdempotencyKey is the largest length of an Idempotency-Key in bytes. A UUID has 36.
const maxIdempotencyKey = 255

// work is a decoded request without its body.
type work struct {
	class string
	key   string
	// timeout is 0 if the caller asks for none.
	timeout        time.Duration
	idempotencyKey string
	idempotent     bool
	method         string
	// url has the path and query for the endpoint, header what is passed on.
	url    *url.URL
	header http.Header
	trace  string
}

// decode checks the head of a request. It keeps no reference to the header of r.
func decode(r *http.Request, maxHeader int) (*work, *problem.Problem) {
	if headerSize(r) > maxHeader {
		return nil, problem.NotRun(problem.HeaderTooLarge, "")
	}
	if r.Method == http.MethodConnect {
		return nil, malformed("method CONNECT is not supported")
	}
	w := &work{method: r.Method, idempotent: isIdempotent(r.Method)}
	if p := w.decodePath(r.URL); p != nil {
		return nil, p
	}
	if p := w.decodeHeader(r.Header); p != nil {
		return nil, p
	}
	w.header = forwarded(r.Header)
	return w, nil
}

func malformed(detail string) *problem.Problem { return problem.NotRun(problem.Malformed, detail) }

// headerSize is the size of the head in HTTP/1.1 without the version.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}

// isIdempotent reports whether requests with the method may be repeated (RFC 9110, section 9.2.2).
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}

// decodePath splits /work/{class}/{path...}.
func (w *work) decodePath(u *url.URL) *problem.Problem {
	rest, ok := strings.CutPrefix(u.EscapedPath(), workPrefix)
	if !ok {
		return problem.NotRun(problem.UnknownRoute, "work is accepted at /work/{class}/{path}")
	}
	segment, path, _ := strings.Cut(rest, "/")
	name, err := url.PathUnescape(segment)
	if err != nil {
		return malformed("class in the path is not escaped properly")
	}
	if name == "" {
		return problem.NotRun(problem.UnknownClass, "path names no class")
	}
	w.class = name
	path = "/" + path
	unescaped, err := url.PathUnescape(path)
	if err != nil {
		return malformed("path is not escaped properly")
	}
	// Opaque would be sent as it is, but a path that begins with two slashes could then be taken for a host.
	w.url = &url.URL{Path: unescaped, RawPath: path, RawQuery: u.RawQuery, ForceQuery: u.ForceQuery}
	return nil
}

func (w *work) decodeHeader(h http.Header) *problem.Problem {
	if values := h[HeaderTimeout]; len(values) > 0 {
		timeout, err := time.ParseDuration(values[0])
		if err != nil || timeout <= 0 || len(values) > 1 {
			return malformed(HeaderTimeout + " is not one positive duration such as 800ms")
		}
		w.timeout = timeout
	}
	if values := h[HeaderIdempotencyKey]; len(values) > 0 {
		if len(values) > 1 || !validIdempotencyKey(values[0]) {
			return malformed(HeaderIdempotencyKey + " is not one value of 1 to 255 printable ASCII characters")
		}
		w.idempotencyKey = values[0]
		w.idempotent = false
	}
	if values := h["Authorization"]; len(values) > 0 {
		if len(values) > 1 {
			return malformed("Authorization is repeated")
		}
		scheme, key, _ := strings.Cut(values[0], " ")
		if strings.EqualFold(scheme, "Bearer") {
			w.key = strings.TrimSpace(key)
		}
	}
	if values := h[headerTraceParent]; len(values) == 1 && validTraceParent(values[0]) {
		w.trace = values[0]
	}
	return nil
}

func validIdempotencyKey(key string) bool {
	if key == "" || len(key) > maxIdempotencyKey {
		return false
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

// validTraceParent checks the form of version 00 of W3C Trace Context: 00-{32 hex}-{16 hex}-{2 hex}.
func validTraceParent(s string) bool {
	if len(s) != 55 || s[2] != '-' || s[35] != '-' || s[52] != '-' {
		return false
	}
	for i := range len(s) {
		if i == 2 || i == 35 || i == 52 {
			continue
		}
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return s[:2] != "ff"
}

// hopHeaders belong to one connection and are not passed on (RFC 9110, section 7.6.1).
var hopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// callerHeaders are consumed by the entry instance.
var callerHeaders = map[string]bool{
	"Authorization":  true,
	"Expect":         true,
	"Content-Length": true,
	"Host":           true,
}

// forwarded returns the headers that an endpoint receives. Keys of teams stay here.
func forwarded(h http.Header) http.Header {
	out := make(http.Header, len(h)+2)
	for name, values := range h {
		if hopHeaders[name] || callerHeaders[name] || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		if name == headerTraceParent && (len(values) != 1 || !validTraceParent(values[0])) {
			continue
		}
		out[name] = values
	}
	removeNamed(out, h["Connection"])
	if _, ok := out["User-Agent"]; !ok {
		// An empty value keeps the HTTP library from adding its own name.
		out["User-Agent"] = []string{""}
	}
	return out
}

// removeNamed removes the headers that a Connection header names.
func removeNamed(h http.Header, connection []string) {
	for _, value := range connection {
		for name := range strings.SplitSeq(value, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
}

// digest identifies the content of a request: method, path with class, query and body.
func digest(method, requestURI string, body []byte) [32]byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(requestURI), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	var sum [32]byte
	h.Sum(sum[:0])
	return sum
}
