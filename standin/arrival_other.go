//go:build !linux

package standin

import (
	"errors"
	"net"
	"time"
)

// arrivalReader is not available on this system.
type arrivalReader struct{ net.Conn }

func enableArrivals(net.Listener) error { return errors.ErrUnsupported }

func newArrivalReader(*net.TCPConn) (*arrivalReader, error) { return nil, errors.ErrUnsupported }

func (*arrivalReader) time() time.Time { return time.Time{} }
