package peer

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// sentTimesKept is the number of heartbeats whose send times a link keeps. The echo of an older one confirms nothing.
const sentTimesKept = 64

// link is the connection to one peer.
type link struct {
	node    *Node
	conn    *quic.Conn
	peer    hello
	dialled bool // by this node
	// expires is when the peer's certificate expires. The connection is closed then, since it must not outlive the certificate.
	expires time.Time

	mu           sync.Mutex
	sequence     uint32
	sentAt       [sentTimesKept]time.Time
	summaries    *summarySender
	lastReceived uint32
	lastContact  time.Time
}

func newLink(node *Node, conn *quic.Conn, peer hello, dialled bool) *link {
	return &link{
		node:      node,
		conn:      conn,
		peer:      peer,
		dialled:   dialled,
		expires:   conn.ConnectionState().TLS.PeerCertificates[0].NotAfter,
		summaries: newSummarySender(),
	}
}

// run receives heartbeats and serves requests until the connection ends.
func (l *link) run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for {
			stream, err := l.conn.AcceptStream(ctx)
			if err != nil {
				return
			}
			tasks.Go(func() { l.serveRequest(ctx, stream) })
		}
	})
	l.sendHeartbeat()
	for {
		data, err := l.conn.ReceiveDatagram(ctx)
		if err != nil {
			break
		}
		var h heartbeat
		if err := cbor.Unmarshal(data, &h); err != nil {
			l.node.logger.Warn("Heartbeat cannot be decoded.", "peer", l.peer.ID, "error", err)
			continue
		}
		l.handleHeartbeat(h)
	}
	_ = l.conn.CloseWithError(codeClosed, "closed")
	tasks.Wait()
}

// sendHeartbeat sends a heartbeat to the peer.
func (l *link) sendHeartbeat() {
	pools, loads, budget := l.node.loadsToSend()
	l.mu.Lock()
	l.sequence++
	h := heartbeat{Sequence: l.sequence, Echo: l.lastReceived, Leaving: l.node.leaving.Load()}
	if l.lastReceived != 0 {
		// Hold is measured before the age, so that a pause in between makes the confirmation look older, never newer.
		h.Hold = uint64(time.Since(l.lastContact).Microseconds())
	}
	version, age, known := l.node.configuration.Report()
	h.Version = version
	if known {
		h.Age = uint64(age.Microseconds()) + 1 + 1 // rounded up, and 0 means unknown
	}
	h.Loads = l.summaries.chooseLoads(h.Sequence, pools, loads, budget)
	l.sentAt[l.sequence%sentTimesKept] = time.Now()
	l.mu.Unlock()
	data, err := cbor.Marshal(h)
	if err != nil {
		l.node.logger.Error("Heartbeat cannot be encoded.", "error", err)
		return
	}
	if err := l.conn.SendDatagram(data); err != nil {
		l.node.logger.Debug("Heartbeat was not sent.", "peer", l.peer.ID, "error", err)
	}
}

// handleHeartbeat records the heartbeat and what it acknowledges, and passes on the peer's configuration version.
func (l *link) handleHeartbeat(h heartbeat) {
	now := time.Now()
	l.mu.Lock()
	if int32(h.Sequence-l.lastReceived) <= 0 {
		l.mu.Unlock()
		return // duplicate or out of order
	}
	l.lastReceived, l.lastContact = h.Sequence, now
	var echoSentAt time.Time
	if h.Echo != 0 && l.sequence-h.Echo < sentTimesKept {
		echoSentAt = l.sentAt[h.Echo%sentTimesKept]
		l.summaries.acknowledge(h.Echo)
	}
	l.mu.Unlock()
	l.node.recordHeartbeat(l.peer, h, now)
	if h.Age == 0 || echoSentAt.IsZero() {
		l.observeVersion(h.Version, time.Time{})
		return
	}
	// The peer sent this heartbeat at least Hold after this node sent the echoed one,
	// and its version had been confirmed Age before it sent it.
	age := time.Duration(h.Age-1) * time.Microsecond
	l.observeVersion(h.Version, echoSentAt.Add(time.Duration(h.Hold)*time.Microsecond-age))
}

// observeVersion passes the peer's version and the time of its confirmation to the configuration.
// If the version is later than the one in force, the configuration is fetched first.
func (l *link) observeVersion(version uint64, confirmed time.Time) {
	if l.node.configuration.Observe(version, confirmed) {
		return
	}
	if !l.node.beginFetch(l, version, time.Now()) {
		return
	}
	l.node.tasks.Go(func() {
		for from := l; from != nil; from = l.node.endFetch(false) {
			if err := from.fetchDelta(); err != nil {
				l.node.logger.Debug("Configuration could not be fetched from a peer.", "peer", from.peer.ID, "error", err)
				l.node.endFetch(true) // the next heartbeat starts another fetch
				return
			}
		}
		l.node.configuration.Observe(version, confirmed)
	})
}

// fetchDelta fetches the configuration changes that this node lacks from the peer and accepts them.
func (l *link) fetchDelta() error {
	after, _, _ := l.node.configuration.Report()
	body, err := cbor.Marshal(configDeltaRequest{After: after})
	if err != nil {
		return err
	}
	delta, err := roundTrip(l.conn.Context(), l.conn, request{Kind: kindConfigDelta, Body: body})
	if err != nil {
		return err
	}
	if err := l.node.configuration.Accept(delta); err != nil {
		return err
	}
	if version, _, _ := l.node.configuration.Report(); version <= after {
		return eris.New("delta from peer contains no later version")
	}
	return nil
}

// serveRequest reads one request from the stream and answers it.
func (l *link) serveRequest(ctx context.Context, stream *quic.Stream) {
	defer stream.CancelRead(0)
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	_ = stream.SetDeadline(time.Now().Add(requestTimeout))
	var r request
	if err := readMessage(stream, &r); err != nil {
		stream.CancelWrite(0)
		return
	}
	var resp response
	body, err := l.node.handleRequest(ctx, l.peer, r)
	if err != nil {
		resp.Error = err.Error()
	} else {
		resp.Body = body
	}
	if err := writeMessage(stream, resp); err != nil {
		stream.CancelWrite(0)
	}
}
