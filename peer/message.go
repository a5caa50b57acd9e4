package peer

import (
	"context"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// hello is the first message in each direction of a connection.
type hello struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	DataCentre  string `cbor:"3,keyasint"`
	Address     string `cbor:"4,keyasint"`
}

// heartbeat is sent as a datagram, since a lost one would be out of date by the time it is sent again.
// Durations are in microseconds.
type heartbeat struct {
	Sequence uint32 `cbor:"1,keyasint"`
	// Echo is the sequence number of the last heartbeat received, and Hold the time since it was received.
	// From them the receiver derives the maximum age of this heartbeat without comparing clocks.
	Echo uint32 `cbor:"2,keyasint,omitempty"`
	Hold uint64 `cbor:"3,keyasint,omitempty"`
	// Version is the configuration version in force, and Age the time since it was confirmed, rounded up
	// to microseconds, plus 1. Age 0 means that it was never confirmed.
	Version uint64 `cbor:"4,keyasint,omitempty"`
	Age     uint64 `cbor:"5,keyasint,omitempty"`
	Leaving bool   `cbor:"6,keyasint,omitempty"`
	// Loads are the pools whose load has changed since the receiver last acknowledged it.
	Loads []poolLoad `cbor:"7,keyasint,omitempty"`
}

// Load is the load of one pool as one entry instance sees it.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Queued and Running are numbers of requests, Slots is the number of slots that the entry instance may use.
	Queued, Running, Slots uint32
	// Wait is the predicted wait in the queue in milliseconds.
	Wait uint32
}

type poolLoad struct {
	_    struct{} `cbor:",toarray"`
	Pool string
	Load Load
}

// request is sent on a stream of its own and answered with a response.
type request struct {
	Kind string `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint,omitempty"`
}

type response struct {
	Error string `cbor:"1,keyasint,omitempty"`
	Body  []byte `cbor:"2,keyasint,omitempty"`
}

// Kinds of requests.
const (
	kindHello       = "hello"
	kindConfigDelta = "configDelta"
	kindLeaving     = "leaving"
)

type configDeltaRequest struct {
	After uint64 `cbor:"1,keyasint"`
}

const (
	// maxMessageBytes bounds a message on a stream. The whole configuration of a large fleet takes about 0.5 MB.
	maxMessageBytes = 16 << 20
	// maxDatagramBytes is the size that fits into the packets that every QUIC path carries: 1,200 bytes less the headers.
	maxDatagramBytes = 1100
	// requestTimeout bounds a request whose context has no deadline.
	requestTimeout = 3 * time.Second
)

var errTooLarge = eris.Errorf("message is larger than %d bytes", maxMessageBytes)

// writeMessage writes the message and closes the sending side of the stream.
func writeMessage(stream *quic.Stream, message any) error {
	data, err := cbor.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode message")
	}
	if len(data) > maxMessageBytes {
		return errTooLarge
	}
	if _, err := stream.Write(data); err != nil {
		return err
	}
	return stream.Close()
}

func readMessage(stream *quic.Stream, message any) error {
	data, err := io.ReadAll(io.LimitReader(stream, maxMessageBytes+1))
	if err != nil {
		return err
	}
	if len(data) > maxMessageBytes {
		return errTooLarge
	}
	return cbor.Unmarshal(data, message)
}

// roundTrip sends a request on a new stream and returns the body of its response.
func roundTrip(ctx context.Context, conn *quic.Conn, r request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	defer stream.CancelRead(0)
	if deadline, ok := ctx.Deadline(); ok {
		if err := stream.SetDeadline(deadline); err != nil {
			return nil, err
		}
	}
	if err := writeMessage(stream, r); err != nil {
		return nil, err
	}
	var resp response
	if err := readMessage(stream, &resp); err != nil {
		return nil, err
	}
	if resp.Error != "" {
		return nil, eris.Errorf("peer: %s", resp.Error)
	}
	return resp.Body, nil
}
