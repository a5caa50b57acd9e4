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
	// HeaderTimeout is a duration such as "800ms" that replaces the target of the class if it is shorter.
	HeaderTimeout = "Chivetiller-Timeout"
	// HeaderIdempotencyKey marks a request that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderStored marks the stored response of an earlier request with the same Idempotency-Key.
	HeaderStored = "Chivetiller-Stored"

	headerTraceParent = "Traceparent"
	headerPrefix      = "Chivetiller-"
	workPrefix        = "/work/"
)

// maxIdempotencyKey is the maximum length of an Idempotency-Key in bytes. A UUID has 36.
const maxIdempotencyKey = 255

// requestHead is the decoded head of a request.
type requestHead struct {
	class  string
	apiKey string
	// timeout is 0 if the caller sets none.
	timeout        time.Duration
	idempotencyKey string
	idempotent     bool
	method         string
	// url has the path and query for the endpoint, and header has the headers for it.
	url         *url.URL
	header      http.Header
	traceParent string
}

// decodeHead checks and decodes the head of a request of at most maxHeader bytes. It keeps no reference to the header
// map of r.
func decodeHead(r *http.Request, maxHeader int) (*requestHead, *problem.Problem) {
	if headerSize(r) > maxHeader {
		return nil, problem.NotRun(problem.HeaderTooLarge, "")
	}
	if r.Method == http.MethodConnect {
		return nil, malformed("method CONNECT is not supported")
	}
	head := &requestHead{method: r.Method, idempotent: isIdempotent(r.Method)}
	if p := head.decodePath(r.URL); p != nil {
		return nil, p
	}
	if p := head.decodeHeader(r.Header); p != nil {
		return nil, p
	}
	head.header = forwardedHeaders(r.Header)
	return head, nil
}

func malformed(detail string) *problem.Problem { return problem.NotRun(problem.Malformed, detail) }

// headerSize returns the size in bytes of the request line and headers in HTTP/1.1, without the version.
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

// decodePath sets the class and the URL for the endpoint from /work/{class}/{path...}.
func (head *requestHead) decodePath(u *url.URL) *problem.Problem {
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
	head.class = name
	path = "/" + path
	unescaped, err := url.PathUnescape(path)
	if err != nil {
		return malformed("path is not escaped properly")
	}
	// URL.Opaque would be sent unchanged, but a path that begins with two slashes could then be taken for a host.
	head.url = &url.URL{Path: unescaped, RawPath: path, RawQuery: u.RawQuery, ForceQuery: u.ForceQuery}
	return nil
}

func (head *requestHead) decodeHeader(h http.Header) *problem.Problem {
	if values := h[HeaderTimeout]; len(values) > 0 {
		timeout, err := time.ParseDuration(values[0])
		if err != nil || timeout <= 0 || len(values) > 1 {
			return malformed(HeaderTimeout + " is not one positive duration such as 800ms")
		}
		head.timeout = timeout
	}
	if values := h[HeaderIdempotencyKey]; len(values) > 0 {
		if len(values) > 1 || !validIdempotencyKey(values[0]) {
			return malformed(HeaderIdempotencyKey + " is not one value of 1 to 255 printable ASCII characters")
		}
		head.idempotencyKey = values[0]
		head.idempotent = false
	}
	if values := h["Authorization"]; len(values) > 0 {
		if len(values) > 1 {
			return malformed("Authorization is repeated")
		}
		scheme, key, _ := strings.Cut(values[0], " ")
		if strings.EqualFold(scheme, "Bearer") {
			head.apiKey = strings.TrimSpace(key)
		}
	}
	if values := h[headerTraceParent]; len(values) == 1 && validTraceParent(values[0]) {
		head.traceParent = values[0]
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

// validTraceParent reports whether s has the form of version 00 of W3C Trace Context: 00-{32 hex}-{16 hex}-{2 hex}.
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

// hopByHopHeaders apply to one connection and are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = map[string]bool{
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

// consumedHeaders are handled by the entry instance and not forwarded.
var consumedHeaders = map[string]bool{
	"Authorization":  true,
	"Expect":         true,
	"Content-Length": true,
	"Host":           true,
}

// forwardedHeaders returns the headers that are sent to the endpoint. Keys of teams are never among them.
func forwardedHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h)+2)
	for name, values := range h {
		if hopByHopHeaders[name] || consumedHeaders[name] || strings.HasPrefix(name, headerPrefix) {
			continue
		}
		if name == headerTraceParent && (len(values) != 1 || !validTraceParent(values[0])) {
			continue
		}
		out[name] = values
	}
	removeConnectionHeaders(out, h["Connection"])
	if _, ok := out["User-Agent"]; !ok {
		// An empty value prevents the HTTP library from adding its default User-Agent.
		out["User-Agent"] = []string{""}
	}
	return out
}

// removeConnectionHeaders removes the headers that are listed in a Connection header.
func removeConnectionHeaders(h http.Header, connection []string) {
	for _, value := range connection {
		for name := range strings.SplitSeq(value, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
}

// requestDigest returns a SHA-256 digest of the content of a request: method, path with class, query and body. Each
// part is preceded by its length.
func requestDigest(method, requestURI string, body []byte) [32]byte {
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
