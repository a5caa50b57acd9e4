package catalog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/common/loop"
	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/store"
)

const (
	// feedWait is how long the store may hold back its answer until something changes. A configuration has to be in
	// force within 2 s, also after a connection has gone silent.
	feedWait = 700 * time.Millisecond
	// feedTimeout is how long such a call may take beyond its wait.
	feedTimeout = 500 * time.Millisecond
	// feedPause is the time after a call that failed.
	feedPause = 150 * time.Millisecond
	// peerAge is the age of the last confirmation from which on peers are asked.
	peerAge = 1700 * time.Millisecond
)

// Decoder reads what the operator writes into the store.
type Decoder interface {
	Table() string
	ConfigRow() store.Key
	IsWave(row store.Row) bool
	DecodeConfig(value []byte) (*Catalog, error)
	DecodeWave(row store.Row) (instance.Wave, error)
	WaveStatus(row store.Key, finished bool) store.Put
}

// Snapshot is a configuration as the operator wrote it, with the age of its last confirmation.
type Snapshot struct {
	Value   []byte        `cbor:"1,keyasint"`
	Version uint64        `cbor:"2,keyasint"`
	Age     time.Duration `cbor:"3,keyasint"`
}

// Peers asks other processes for their configuration.
type Peers interface {
	// Latest returns the newest configuration that a peer knows, if its version of the row is not older than the given one.
	Latest(ctx context.Context, version uint64) (Snapshot, bool)
}

// SourceOptions are the options of a source.
type SourceOptions struct {
	Store   store.Store
	Clock   *store.Clock
	Decoder Decoder
	Peers   Peers
	Logger  hclog.Logger
}

// Source follows the configuration. It is safe for concurrent use.
type Source struct {
	o      SourceOptions
	logger hclog.Logger
	loops  []*loop.Loop

	mu      sync.Mutex
	current *Catalog
	// value and row are the configuration as written and the version of its row.
	value []byte
	row   uint64
	// confirmed is until when the configuration was the newest one, on the own clock.
	confirmed time.Duration
	// direct is when the store itself confirmed it last.
	direct time.Duration
	waves  map[string]instance.Wave
	// after is the version from which on changes are read. 0 means that all rows have to be read.
	after uint64
}

// NewSource returns a source that is not started.
func NewSource(o SourceOptions) *Source {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	s := &Source{o: o, logger: o.Logger.Named("catalog"), waves: make(map[string]instance.Wave), current: New(0, 0, nil, nil, nil)}
	s.loops = []*loop.Loop{loop.New(s.follow), loop.New(loop.Every(feedPause, s.askPeers))}
	return s
}

// Start begins to follow the configuration.
func (s *Source) Start() {
	for _, l := range s.loops {
		l.Start()
	}
}

// Stop ends.
func (s *Source) Stop() {
	for _, l := range s.loops {
		l.Stop()
	}
}

// Current returns the configuration in force. Its version is 0 before the first one.
func (s *Source) Current() *Catalog {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Age returns how long ago the configuration was known to be the newest one.
func (s *Source) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return clock.Now() - s.confirmed
}

// Latest returns the configuration for a peer.
func (s *Source) Latest() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{Value: s.value, Version: s.row, Age: clock.Now() - s.direct}
}

// Waves returns the requests for maintenance by the name of their row.
func (s *Source) Waves() map[string]instance.Wave {
	s.mu.Lock()
	defer s.mu.Unlock()
	waves := make(map[string]instance.Wave, len(s.waves))
	for name, w := range s.waves {
		waves[name] = w
	}
	return waves
}

// WaveStatus returns the row that tells the operator how far a wave is.
func (s *Source) WaveStatus(name string, finished bool) store.Put {
	return s.o.Decoder.WaveStatus(store.Key{Name: name}, finished)
}

func (s *Source) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.read(ctx); err != nil && ctx.Err() == nil {
			s.logger.Warn("Configuration cannot be read.", "age", s.Age(), "error", err)
			select {
			case <-time.After(feedPause):
			case <-ctx.Done():
			}
		}
	}
}

// read waits for the next change, or reads all rows of the operator.
func (s *Source) read(ctx context.Context) error {
	s.mu.Lock()
	after := s.after
	s.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, feedWait+feedTimeout)
	defer cancel()
	sent := clock.Now()
	var rows store.Rows
	var err error
	if after == 0 {
		rows, err = s.o.Store.Scan(limited, s.o.Decoder.Table(), "", "", "")
	} else {
		rows, err = s.o.Store.Changes(limited, s.o.Decoder.Table(), after, feedWait)
	}
	if errors.Is(err, store.ErrHistoryGone) {
		s.logger.Warn("History of the configuration is gone; all rows are read.", "after", after)
		s.mu.Lock()
		s.after = 0
		s.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	s.o.Clock.Update(rows.Now)
	for _, row := range rows.Rows {
		s.takeRow(row)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.after = rows.Version
	if s.current.Version > 0 {
		// The answer shows the rows as of some time after it was asked for.
		s.confirm(sent)
		s.direct = max(s.direct, sent)
	}
	return nil
}

func (s *Source) confirm(at time.Duration) { s.confirmed = max(s.confirmed, at) }

func (s *Source) takeRow(row store.Row) {
	switch {
	case row.Deleted:
	case row.Name == s.o.Decoder.ConfigRow().Name:
		s.put(row.Value, row.Version, "store")
	case s.o.Decoder.IsWave(row):
		w, err := s.o.Decoder.DecodeWave(row)
		if err != nil {
			s.logger.Error("Request for maintenance cannot be read.", "row", row.Name, "error", err)
			return
		}
		s.mu.Lock()
		s.waves[row.Name] = w
		s.mu.Unlock()
	}
}

// put puts a configuration into force unless a newer one is.
func (s *Source) put(value []byte, row uint64, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row <= s.row {
		return
	}
	c, err := s.o.Decoder.DecodeConfig(value)
	if err != nil {
		s.logger.Error("Configuration cannot be read.", "row", row, "error", err)
		return
	}
	if c.Version < s.current.Version {
		s.logger.Warn("Older configuration is left out.", "version", c.Version, "inForce", s.current.Version)
		return
	}
	s.current, s.value, s.row = c, value, row
	s.logger.Info("Configuration is in force.", "version", c.Version, "queues", len(c.Queues), "pools", len(c.Pools), "teams", len(c.Teams), "from", from)
}

// askPeers asks peers for the configuration while the store does not answer this process.
func (s *Source) askPeers(ctx context.Context) {
	if s.Age() < peerAge || s.o.Peers == nil {
		return
	}
	s.mu.Lock()
	row := s.row
	s.mu.Unlock()
	sent := clock.Now()
	snapshot, ok := s.o.Peers.Latest(ctx, row)
	if !ok || snapshot.Version < row {
		return
	}
	s.put(snapshot.Value, snapshot.Version, "peer")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.row >= snapshot.Version && s.current.Version > 0 {
		s.confirm(sent - snapshot.Age)
	}
}
