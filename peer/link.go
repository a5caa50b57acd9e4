package peer

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// sentTimes is how many heartbeats a link remembers. An echo of an older one confirms nothing.
const sentTimes = 64

// link is the connection to one peer.
type link struct {
	node  *Node
	conn  *quic.Conn
	peer  hello
	local bool // dialled by this node
	// expires is when the peer's certificate does. The connection ends then, so that a certificate is renewed or useless.
	expires time.Time

	mu       sync.Mutex
	sequence uint32
	sent     [sentTimes]time.Time
	summary  *summarySender
	received uint32
	heardAt  time.Time
}

func newLink(node *Node, conn *quic.Conn, peer hello, local bool) *link {
	return &link{
		node:    node,
		conn:    conn,
		peer:    peer,
		local:   local,
		expires: conn.ConnectionState().TLS.PeerCertificates[0].NotAfter,
		summary: newSummarySender(),
	}
}

// run serves the connection until it ends.
func (l *link) run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for {
			stream, err := l.conn.AcceptStream(ctx)
			if err != nil {
				return
			}
			tasks.Go(func() { l.serve(ctx, stream) })
		}
	})
	l.beat()
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
		l.receive(h)
	}
	_ = l.conn.CloseWithError(codeClosed, "closed")
	tasks.Wait()
}

// beat sends a heartbeat.
func (l *link) beat() {
	pools, loads, budget := l.node.loadsFor()
	l.mu.Lock()
	l.sequence++
	h := heartbeat{Sequence: l.sequence, Echo: l.received, Leaving: l.node.leaving.Load()}
	if l.received != 0 {
		// Hold is measured before the age, so that a pause in between makes the statement older, never younger.
		h.Hold = uint64(time.Since(l.heardAt).Microseconds())
	}
	version, age, known := l.node.configuration.Report()
	h.Version = version
	if known {
		h.Age = uint64(age.Microseconds()) + 1 + 1 // rounded up, and 0 means unknown
	}
	h.Loads = l.summary.choose(h.Sequence, pools, loads, budget)
	l.sent[l.sequence%sentTimes] = time.Now()
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

func (l *link) receive(h heartbeat) {
	now := time.Now()
	l.mu.Lock()
	if int32(h.Sequence-l.received) <= 0 {
		l.mu.Unlock()
		return // repeated or overtaken
	}
	l.received, l.heardAt = h.Sequence, now
	var asked time.Time
	if h.Echo != 0 && l.sequence-h.Echo < sentTimes {
		asked = l.sent[h.Echo%sentTimes]
		l.summary.echoed(h.Echo)
	}
	l.mu.Unlock()
	l.node.heard(l.peer, h, now)
	if h.Age == 0 || asked.IsZero() {
		l.catchUp(h.Version, time.Time{})
		return
	}
	// The peer sent this at least Hold after the echoed heartbeat left here, and had confirmed its version Age before that.
	age := time.Duration(h.Age-1) * time.Microsecond
	l.catchUp(h.Version, asked.Add(time.Duration(h.Hold)*time.Microsecond-age))
}

// catchUp passes the peer's statement on, after fetching the configuration if the peer's is later.
func (l *link) catchUp(version uint64, confirmed time.Time) {
	if l.node.configuration.Observe(version, confirmed) {
		return
	}
	if !l.node.beginFetch(l, version, time.Now()) {
		return
	}
	l.node.tasks.Go(func() {
		for from := l; from != nil; from = l.node.endFetch(false) {
			if err := from.fetch(); err != nil {
				l.node.logger.Debug("Configuration was not fetched from a peer.", "peer", from.peer.ID, "error", err)
				l.node.endFetch(true) // the next heartbeat begins again
				return
			}
		}
		l.node.configuration.Observe(version, confirmed)
	})
}

func (l *link) fetch() error {
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
		return eris.New("delta of peer leads to no later version")
	}
	return nil
}

// serve answers one request.
func (l *link) serve(ctx context.Context, stream *quic.Stream) {
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
	body, err := l.node.answer(ctx, l.peer, r)
	if err != nil {
		resp.Error = err.Error()
	} else {
		resp.Body = body
	}
	if err := writeMessage(stream, resp); err != nil {
		stream.CancelWrite(0)
	}
}
