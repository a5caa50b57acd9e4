package standin

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/chivetiller/chivetiller/common/problem"
)

// FaultKind is a kind of faulty behaviour of an endpoint.
type FaultKind string

// Kinds of faults that tests can inject.
const (
	FaultNone               FaultKind = ""
	FaultGarbage            FaultKind = "garbage"
	FaultHalfResponse       FaultKind = "halfResponse"
	FaultTwoResponses       FaultKind = "twoResponses"
	FaultNoResponse         FaultKind = "noResponse"
	FaultWrongRequestID     FaultKind = "wrongRequestId"
	FaultWrongDigest        FaultKind = "wrongDigest"
	FaultFailFast           FaultKind = "failFast"
	FaultSlow               FaultKind = "slow"
	FaultCloseBeforeReading FaultKind = "closeBeforeReading"
	FaultCloseAfterRunning  FaultKind = "closeAfterRunning"
	// FaultNoLength sends a body without a length, which ends where the connection is closed.
	FaultNoLength FaultKind = "noLength"
	// FaultHugeHeader sends a header of more than 1 MiB.
	FaultHugeHeader FaultKind = "hugeHeader"
	// FaultHugeBody announces a body of 1 GiB.
	FaultHugeBody FaultKind = "hugeBody"
)

// Fault is a fault to inject.
type Fault struct {
	Kind FaultKind
	// Delay is added to the service time by FaultSlow.
	Delay time.Duration
	// Times is how many requests the fault affects; 0 means all.
	Times int
	// Match limits the fault to certain requests. It may be nil.
	Match func(r *http.Request) bool
}

// activeFault is the injected fault and how many more requests it affects.
type activeFault struct {
	current   Fault
	remaining int
}

// SetFault injects a fault. The zero Fault ends it.
func (e *Endpoint) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = activeFault{current: f, remaining: f.Times}
}

func (e *Endpoint) nextFault(r *http.Request) Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.fault.current
	if f.Kind == FaultNone || (f.Match != nil && !f.Match(r)) {
		return Fault{}
	}
	if f.Times > 0 {
		if e.fault.remaining == 0 {
			return Fault{}
		}
		e.fault.remaining--
	}
	return f
}

// respondWithFault responds as the fault requires and reports whether a whole response was sent.
func respondWithFault(w http.ResponseWriter, r *http.Request, fault Fault, id string, body []byte) bool {
	switch fault.Kind {
	case FaultFailFast:
		http.Error(w, "failed", http.StatusInternalServerError)
		return true
	case FaultWrongRequestID:
		w.Header().Set(problem.HeaderRequestID, id+"-other")
		_, err := w.Write(body)
		return err == nil
	case FaultWrongDigest:
		w.Header().Set("Content-Digest", contentDigest(append([]byte("other"), body...)))
		_, err := w.Write(body)
		return err == nil
	case FaultNoResponse:
		// The connection stays open until the other side closes it.
		<-r.Context().Done()
		return false
	case FaultCloseAfterRunning:
		closeConnection(r)
		return false
	}
	return writeRaw(w, fault.Kind, id, body)
}

// writeRaw hijacks the connection and writes bytes that an HTTP server would not write.
func writeRaw(w http.ResponseWriter, kind FaultKind, id string, body []byte) bool {
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer c.Close()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", problem.HeaderRequestID, id, len(body)+2)
	whole := head + string(body) + "ok"
	switch kind {
	case FaultGarbage:
		fmt.Fprint(c, "\x00\x01 this is not HTTP\r\n\r\n")
	case FaultHalfResponse:
		fmt.Fprint(c, whole[:len(whole)-1])
	case FaultNoLength:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n%s", problem.HeaderRequestID, id, body)
	case FaultHugeHeader:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n", problem.HeaderRequestID, id)
		line := fmt.Sprintf("X-Filler: %01024d\r\n", 0)
		for range 2048 {
			if _, err := fmt.Fprint(c, line); err != nil {
				return false
			}
		}
	case FaultHugeBody:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\nstart", problem.HeaderRequestID, id, 1<<30)
	case FaultTwoResponses:
		fmt.Fprint(c, whole+whole)
		// The connection stays open, so that the second response could reach the next request.
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = buffered.Read(make([]byte, 1))
		return true
	}
	return false
}

func closeConnection(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
		c.Close()
	}
}

func contentDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}
