package standin

import (
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// timespecSize is the size in bytes of a timespec on 64-bit systems.
const timespecSize = 16

// arrivalReader reads from a connection and keeps the time at which the kernel received the bytes. That time does not
// depend on when this process is scheduled.
type arrivalReader struct {
	raw syscall.RawConn
	// control is the buffer of control messages. Reads do not overlap.
	control [64]byte
	// receivedAt is in nanoseconds since 1970, or 0 if the kernel gave no time for the last read.
	receivedAt atomic.Int64
}

// enableArrivals makes the kernel record arrivals at the connections of the listener. It does so for the whole host, and
// takes a moment for that if no other socket had asked for it.
func enableArrivals(listener net.Listener) error {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return eris.Errorf("listener at %s is not a TCP listener", listener.Addr())
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "access the socket")
	}
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	}); err != nil {
		return eris.Wrap(err, "access the socket")
	}
	return eris.Wrap(optionErr, "enable arrival times of the socket")
}

// newArrivalReader returns a reader of a connection whose listener has arrivals enabled.
func newArrivalReader(conn *net.TCPConn) (*arrivalReader, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, eris.Wrap(err, "access the socket")
	}
	return &arrivalReader{raw: raw}, nil
}

// Read implements [io.Reader].
func (a *arrivalReader) Read(p []byte) (int, error) {
	var (
		n, controlLength int
		readErr          error
	)
	err := a.raw.Read(func(fd uintptr) bool {
		for {
			n, controlLength, _, _, readErr = unix.Recvmsg(int(fd), p, a.control[:], 0)
			if readErr != unix.EINTR {
				return readErr != unix.EAGAIN
			}
		}
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, eris.Wrap(readErr, "receive")
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	a.receivedAt.Store(arrivalTime(a.control[:controlLength]))
	return n, nil
}

// arrivalTime returns the time in the control messages of a read, or 0.
func arrivalTime(control []byte) int64 {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return 0
	}
	for _, m := range messages {
		if m.Header.Level == unix.SOL_SOCKET && m.Header.Type == unix.SO_TIMESTAMPNS && len(m.Data) >= timespecSize {
			seconds, nanoseconds := binary.NativeEndian.Uint64(m.Data), binary.NativeEndian.Uint64(m.Data[timespecSize/2:])
			return int64(seconds)*int64(time.Second) + int64(nanoseconds)
		}
	}
	return 0
}

// time returns when the bytes of the last read arrived. It is zero if that is unknown.
func (a *arrivalReader) time() time.Time {
	at := a.receivedAt.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}
