package crowdtest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/world"
)

const (
	// crowd is the number of connections of a case.
	crowd = 700
	// attack is how long the crowd sends, and stays with its connections open.
	attack = 1200 * time.Millisecond
	// settle is the time in which the process accepts the connections before the crowd sends.
	settle = 100 * time.Millisecond
	// legalBody is the largest body that the configuration permits.
	legalBody = 262144
	// smallBody is the body that is sent in chunks of one byte. It is smaller, so that the processor is not what the test measures.
	smallBody = 32768
	largeHead = 900_000
	// peerBody is less than the processes permit each other.
	peerBody = 1 << 20
	// operatorBody is a part of what entry instances permit operators.
	operatorBody = 4 << 20
	piece        = 8192
	pieceTime    = 20 * time.Millisecond
)

// submission is the head of a request that submits a job, without its end.
const submission = "POST /q/%016x HTTP/1.1\r\nHost: jobs.example\r\nX-Api-Key: key-of-tenant-a\r\n"

// client is a connection of a crowd.
type client struct {
	net.Conn
	number int
	until  time.Time
}

func (c *client) send(data []byte) bool {
	_, err := c.Write(data)
	return err == nil
}

func (c *client) sendHead(lines string) bool {
	return c.send(fmt.Appendf(nil, submission+"%s", c.number, lines))
}

// sendEmptyLines sends empty lines, over a new connection whenever the process has closed the last one.
func (c *client) sendEmptyLines() {
	lines := bytes.Repeat([]byte("\r\n"), 500)
	for c.repeat(lines); time.Now().Before(c.until); c.repeat(lines) {
		conn, err := net.DialTimeout("tcp", c.RemoteAddr().String(), time.Until(c.until))
		if err != nil {
			return
		}
		_ = c.Close()
		c.Conn = conn
		_ = conn.SetDeadline(c.until)
	}
}

// sendCommand begins a message to the port for commands, a byte string of 1 GB, and goes on with it.
func (c *client) sendCommand() {
	if c.send([]byte{0x5a, 0x40, 0, 0, 0}) {
		c.repeat(bytes.Repeat([]byte("x"), piece))
	}
}

// repeat sends data until the attack ends or the connection fails.
func (c *client) repeat(data []byte) {
	for time.Now().Before(c.until) && c.send(data) {
		continue
	}
}

// sendPieces sends data, with a pause after each piece if it is sent slowly. It reports whether all of it was sent.
func (c *client) sendPieces(data []byte, slow bool) bool {
	for len(data) > 0 && time.Now().Before(c.until) {
		n := min(piece, len(data))
		if !c.send(data[:n]) {
			return false
		}
		data = data[n:]
		if slow {
			time.Sleep(pieceTime)
		}
	}
	return len(data) == 0
}

// shape is how a body is sent.
type shape struct {
	// request is the beginning of the head. It is that of a submission if it is empty.
	request     string
	slow, short bool
	// again means that the request is sent again on the same connection until the attack ends.
	again bool
	// chunk is the size of chunks, and 0 for a body that is not chunked.
	chunk, size int
	// content returns a body of a size. It is [longSpec] if it is nil.
	content func(size int) []byte
}

func (s shape) head() string {
	if s.chunk > 0 {
		return "Transfer-Encoding: chunked\r\n\r\n"
	}
	return fmt.Sprintf("Content-Length: %d\r\n\r\n", s.size)
}

func (s shape) body() []byte {
	content := s.content
	if content == nil {
		content = longSpec
	}
	data := content(s.size)
	if s.chunk > 0 {
		var chunked bytes.Buffer
		for len(data) > 0 {
			n := min(s.chunk, len(data))
			fmt.Fprintf(&chunked, "%x\r\n%s\r\n", n, data[:n])
			data = data[n:]
		}
		chunked.WriteString("0\r\n\r\n")
		data = chunked.Bytes()
	}
	if s.short {
		data = data[:len(data)-8]
	}
	return data
}

func (s shape) sender() func(*client) {
	head, body := s.head(), s.body()
	sendHead := (*client).sendHead
	if s.request != "" {
		sendHead = func(c *client, lines string) bool { return c.send([]byte(s.request + lines)) }
	}
	return func(c *client) {
		for sendHead(c, head) && c.sendPieces(body, s.slow) && s.again && time.Now().Before(c.until) {
			continue
		}
	}
}

// TestCrowds guards against a process that runs out of memory or descriptors, or no longer answers ordinary clients, because of a crowd of
// clients outside the limits, or of clients that each are inside.
func TestCrowds(t *testing.T) {
	head := []byte("X-Fill: " + strings.Repeat("x", largeHead))
	front, ready, peers, commands := (*world.Node).Front, (*world.Node).ReadyAddress, (*world.Node).PeerAddress, (*world.Node).CommandAddress
	tests := map[string]struct {
		address func(*world.Node) string
		send    func(*client)
	}{
		"heads over the limit":      {front, func(c *client) { c.sendHead(string(head)) }},
		"heads without end":         {front, sendLines},
		"empty lines without end":   {front, (*client).sendEmptyLines},
		"bodies, whole":             {front, shape{size: legalBody}.sender()},
		"bodies, in pieces":         {front, shape{size: legalBody, slow: true}.sender()},
		"bodies, short":             {front, shape{size: legalBody, short: true}.sender()},
		"large chunks, whole":       {front, shape{size: legalBody, chunk: 65536}.sender()},
		"large chunks, in pieces":   {front, shape{size: legalBody, chunk: 65536, slow: true}.sender()},
		"large chunks, short":       {front, shape{size: legalBody, chunk: 65536, short: true}.sender()},
		"one-byte chunks, whole":    {front, shape{size: smallBody, chunk: 1}.sender()},
		"one-byte chunks, in parts": {front, shape{size: smallBody, chunk: 1, slow: true}.sender()},
		"one-byte chunks, short":    {front, shape{size: smallBody, chunk: 1, short: true}.sender()},
		"readiness, heads":          {ready, sendLines},
		"peers, bodies": {peers, func(c *client) {
			if c.send(fmt.Appendf(nil, "POST /commit HTTP/1.1\r\nHost: peer\r\nContent-Length: %d\r\n\r\n", peerBody)) {
				c.sendPieces(make([]byte, peerBody-1), false)
			}
		}},
		"commands, messages": {commands, (*client).sendCommand},
		"commands, silent":   {commands, func(*client) {}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			playCrowd(t, descriptors, test.address, test.send)
		})
	}
}

// playCrowd plays a crowd against a process with a limit of descriptors, and checks the process.
func playCrowd(t *testing.T, descriptors int, address func(*world.Node) string, send func(*client)) {
	t.Helper()
	size, s := crowd, startTarget(t, memoryMB, descriptors)
	if *large {
		size, s = largeCrowd, startTarget(t, largeMemoryMB, largeDescriptors)
		beside := s.startOrdinary()
		defer beside.check(t)
	}
	attackAddress(address(s.node), size, send)
	s.check(t)
}

// attackAddress plays a crowd of a size against an address, and returns when it has ended.
func attackAddress(address string, size int, send func(*client)) {
	var connected, clients sync.WaitGroup
	connected.Add(size)
	for i := range size {
		clients.Go(func() {
			conn, err := net.DialTimeout("tcp", address, attack)
			connected.Done()
			if err != nil {
				return
			}
			connected.Wait()
			time.Sleep(settle)
			c := &client{Conn: conn, number: i + 1, until: time.Now().Add(attack)}
			until := c.until
			_ = conn.SetDeadline(until)
			defer func() { _ = c.Close() }()
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			send(c)
			// The connection stays open, unless the process closes it.
			time.Sleep(time.Until(until))
		})
	}
	clients.Wait()
}

func sendLines(c *client) {
	if c.sendHead("") {
		c.repeat([]byte("X-Fill: " + strings.Repeat("x", 1000) + "\r\n"))
	}
}
