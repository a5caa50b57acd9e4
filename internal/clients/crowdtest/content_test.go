package crowdtest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/chivetiller/chivetiller/internal/soak/world"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

const (
	// manyElements is the largest number of elements that the CBOR decoder takes in a list by default.
	manyElements = 131072
	// longPath leaves room for the rest of a head of the largest size.
	longPath = 15000
	// readAhead is what the HTTP server reads together with a request at most.
	readAhead = 4000
	// longCommand is less than the processes permit for a command.
	longCommand = 200_000
)

// TestContentCrowds guards against a process that runs out of memory or descriptors because requests of legal size become larger in memory
// than they were when they were received, or leave something behind while they are answered.
func TestContentCrowds(t *testing.T) {
	front, peers, commands, metrics := (*world.Node).Front, (*world.Node).PeerAddress, (*world.Node).CommandAddress, (*world.Node).MetricsAddress
	command := silentCommand(t)
	tests := map[string]struct {
		address func(*world.Node) string
		send    func(*client)
	}{
		"many steps, whole":        {front, shape{size: legalBody, content: manySteps, again: true}.sender()},
		"many steps, in pieces":    {front, shape{size: legalBody, content: manySteps, slow: true}.sender()},
		"many dependencies, whole": {front, shape{size: legalBody, content: manyDependencies, again: true}.sender()},
		"long number, whole":       {front, shape{size: legalBody, content: longNumber, again: true}.sender()},
		"many fields, body short":  {front, func(c *client) { c.sendHead(manyFields() + "Content-Length: 10\r\n\r\n{") }},
		"many fields, again":       {front, func(c *client) { c.repeat([]byte("GET /none HTTP/1.1\r\nHost: none\r\n" + manyFields() + "\r\n")) }},
		"equal fields, body short": {front, func(c *client) { c.sendHead(equalFields() + "Content-Length: 10\r\n\r\n{") }},
		"many fields, behind a request": {front, func(c *client) {
			c.send([]byte("GET /none HTTP/1.1\r\nHost: none\r\n\r\nGET /none HTTP/1.1\r\nHost: none\r\n" + manyFields()[:readAhead]))
		}},
		"all kinds, opened again":       {front, sendAllKinds},
		"peers, many steps":             {peers, peerRequest("/submitted", map[int]any{6: make([]struct{}, manyElements)})},
		"peers, many rows":              {peers, peerRequest("/commit", map[string]any{"Puts": make([]struct{}, manyElements), "Expected": make([]struct{}, manyElements)})},
		"peers, heads":                  {peers, sendLines},
		"metrics, heads":                {metrics, sendLines},
		"metrics, compressed":           {metrics, func(c *client) { c.repeat([]byte("GET /metrics HTTP/1.1\r\nHost: m\r\nAccept-Encoding: gzip\r\n\r\n")) }},
		"commands, to a silent worker":  {commands, func(c *client) { c.repeat(command) }},
		"states of unknown jobs, again": {front, func(c *client) { c.repeat([]byte(c.request(http.MethodGet))) }},
		"cancellations, again":          {front, func(c *client) { c.repeat([]byte(c.request(http.MethodDelete))) }},
		"unknown paths, again": {front, func(c *client) {
			c.repeat([]byte("GET /" + strings.Repeat("x", longPath) + " HTTP/1.1\r\nHost: none\r\n\r\n"))
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { playCrowd(t, manyDescriptors, test.address, test.send) })
	}
}

// TestCrowdsWithSilentStore guards against a process that runs out of descriptors or memory because requests of clients wait for the store,
// each with connections of its own to the store and to other processes.
func TestCrowdsWithSilentStore(t *testing.T) {
	job := "Content-Length: " + strconv.Itoa(len(jobBody)) + "\r\n\r\n" + jobBody
	tests := map[string]func(*client){
		"submissions":   func(c *client) { c.repeat(fmt.Appendf(nil, submission+"%s", c.number, job)) },
		"states":        func(c *client) { c.repeat([]byte(c.request(http.MethodGet))) },
		"cancellations": func(c *client) { c.repeat([]byte(c.request(http.MethodDelete))) },
	}
	for name, send := range tests {
		t.Run(name, func(t *testing.T) {
			s := startTarget(t, memoryMB, manyDescriptors)
			s.w.Store().SetDown(true)
			attackAddress(s.node.Front(), crowd, send)
			s.w.Store().SetDown(false)
			s.check(t)
		})
	}
}

// longSpec returns a body that ends within a long specification.
func longSpec(size int) []byte {
	return append([]byte(`{"spec":"`), bytes.Repeat([]byte("x"), size-len(`{"spec":"`))...)
}

// filled returns a document of a size that repeats a part.
func filled(before, part, after string, size int) []byte {
	n := (size - len(before) - len(after)) / len(part)
	document := before + strings.TrimSuffix(strings.Repeat(part, n), ",") + after
	return append([]byte(document), bytes.Repeat([]byte(" "), size-len(document))...)
}

// manySteps returns a job whose steps take fifty times their bytes once they are decoded.
func manySteps(size int) []byte { return filled(`{"spec":"run 10","steps":[`, `{},`, `]}`, size) }

// manyDependencies returns a job whose lists of numbers take four times their bytes once they are decoded.
func manyDependencies(size int) []byte {
	return filled(`{"spec":"run 10","steps":[{"count":1,"after":[`, `0,`, `]}]}`, size)
}

// longNumber returns a job with a number that an error message may repeat.
func longNumber(size int) []byte {
	return filled(`{"spec":"run 10","times":`, `1`, `,"steps":[{"count":1}]}`, size)
}

// headRoom is left for the other lines of a head.
const headRoom = 300

// manyFields returns the lines of a head with as many fields of different names as fit.
func manyFields() string {
	var out strings.Builder
	for i := 0; out.Len() < legalHead-headRoom; i++ {
		out.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return out.String()
}

// equalFields returns the lines of a head that repeat one field.
func equalFields() string { return strings.Repeat("0:\r\n", (legalHead-headRoom)/len("0:\r\n")) }

// sendAllKinds sends heads and bodies of all kinds by turns, each over a new connection.
func sendAllKinds(c *client) {
	kinds := []func(*client){
		func(c *client) { c.sendHead("X-Fill: " + strings.Repeat("x", largeHead)) },
		sendLines,
		func(c *client) { c.repeat(bytes.Repeat([]byte("\r\n"), 500)) },
		shape{size: legalBody, short: true}.sender(),
		shape{size: legalBody, chunk: 65536, short: true}.sender(),
		shape{size: smallBody, chunk: 1, short: true}.sender(),
		shape{size: legalBody, content: manySteps}.sender(),
		func(c *client) { c.sendHead(manyFields() + "Content-Length: 10\r\n\r\n{") },
	}
	until := c.until
	for i := c.number; time.Now().Before(until); i++ {
		c.until = time.Now().Add(reopenTime)
		kinds[i%len(kinds)](c)
		if !c.reopen(until) {
			return
		}
	}
}

// reopenTime is how long a connection of a kind is used before it is closed and opened again.
const reopenTime = 150 * time.Millisecond

// reopen replaces the connection of the client by a new one.
func (c *client) reopen(until time.Time) bool {
	conn, err := net.DialTimeout("tcp", c.RemoteAddr().String(), time.Until(until))
	if err != nil {
		return false
	}
	_ = c.Close()
	c.Conn = conn
	_ = conn.SetDeadline(until)
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	return true
}

// request returns a request without a body for a job that does not exist.
func (c *client) request(method string) string {
	return fmt.Sprintf("%s /q/%016x HTTP/1.1\r\nHost: jobs.example\r\nX-Api-Key: key-of-tenant-a\r\n\r\n", method, c.number)
}

// peerRequest returns a sender that repeats a request of another process.
func peerRequest(path string, message any) func(*client) {
	data, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	request := append(fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: peer\r\nContent-Length: %d\r\n\r\n", path, len(data)), data...)
	return func(c *client) { c.repeat(request) }
}

// silentCommand returns a command for a worker that takes connections and never answers.
func silentCommand(t *testing.T) []byte {
	t.Helper()
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = silent.Close() })
	data, err := cbor.Marshal(map[int]any{
		1: 1, 3: worker.Target{Life: worker.Life{ID: "w"}, Address: silent.Addr().String()}, 4: 5 * time.Second,
		6: worker.StartCommand{Task: work.Task{Job: "00000000000000aa"}, Run: 1, Spec: strings.Repeat("x", longCommand)},
	})
	qt.Assert(t, err, qt.IsNil)
	return data
}
