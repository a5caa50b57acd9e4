package world

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the platform documents them.
const (
	maxEntries  = 100
	maxTxBytes  = 1 << 20
	maxRowBytes = 64 << 10
	pageRows    = 500
	answerTime  = 4 * time.Millisecond
	// minLateWrite and maxLateWrite bound the time after which a write is done late.
	minLateWrite = 2 * time.Second
	maxLateWrite = 6 * time.Second
)

// rowKey is the key of a row of the store.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type storedRow struct {
	value   []byte
	version uint64
	deleted bool
}

type wireRow struct {
	rowKey
	Value     []byte `json:"value"`
	Version   uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is a stand-in for the store of the platform. It keeps rows in memory and executes each call when it arrives. While it is slow,
// only its answers take longer.
type Store struct {
	rec   *recorder
	start time.Time

	mu      sync.Mutex
	rows    map[rowKey]storedRow
	version uint64
	changed chan struct{}
	slow    float64
	// lost is the share of the writes that are done and not answered.
	lost float64
	// late is the share of the writes that are not answered and done later.
	late float64
	// up is closed when the store is no longer down. It is nil while it is not.
	up chan struct{}
	// oldest is the version before which the history is forgotten.
	oldest uint64
	// share returns a number from 0 to 1.
	share   func() float64
	refused int
	// leaders holds the rows that named a leader, in order.
	leaders []storedRow
}

// keyLeader is the key of the row of the leader.
var keyLeader = rowKey{Table: "duty", Key: "holder"}

func newStore(rec *recorder) *Store {
	return &Store{rec: rec, start: time.Now(), rows: make(map[rowKey]storedRow), changed: make(chan struct{}), slow: 1}
}

// SetSlow makes answers take a multiple of their usual time.
func (s *Store) SetSlow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

// SetLost makes a share of the writes get no answer, although they are done.
func (s *Store) SetLost(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = share
}

// SetLate makes a share of the writes get no answer and be done seconds later, if their conditions still hold then.
func (s *Store) SetLate(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = share
}

// SetDown makes the store answer nothing, or ends that.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case down && s.up == nil:
		s.up = make(chan struct{})
	case !down && s.up != nil:
		close(s.up)
		s.up = nil
	}
}

// Forget makes the store forget its history.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.version
}

// Refused returns the number of transactions that were refused for what they are.
func (s *Store) Refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up != nil
}

// waitUp waits while the store is down.
func (s *Store) waitUp() {
	s.mu.Lock()
	up := s.up
	s.mu.Unlock()
	if up != nil {
		<-up
	}
}

// holdDown gives a call no answer if the store is down.
func (s *Store) holdDown(r *http.Request) {
	if s.isDown() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// shares returns the shares of the writes that are not answered and that are done late.
func (s *Store) shares() (lost, late float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost, s.late
}

// Put writes a row of a worker or the operator.
func (s *Store) Put(key rowKey, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.putRaw(key, data)
}

func (s *Store) putRaw(key rowKey, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(key, storedRow{value: data, version: s.version})
}

// Remove removes a row of a worker.
func (s *Store) Remove(key rowKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.rows[key]; ok && !r.deleted {
		s.version++
		s.write(key, storedRow{version: s.version, deleted: true})
	}
}

// get returns the value of a row.
func (s *Store) get(key rowKey) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key].value
}

func (s *Store) write(key rowKey, row storedRow) {
	s.rows[key] = row
	if key == keyLeader {
		s.leaders = append(s.leaders, row)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) answerDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.slow * float64(answerTime))
}

func (s *Store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.scan)
	mux.HandleFunc("GET /rows-parts", s.parts)
	mux.HandleFunc("GET /rows-feed", s.feed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.holdDown(r)
		mux.ServeHTTP(w, r)
	})
}

func (s *Store) answer(w http.ResponseWriter, r *http.Request, status int, body map[string]any) {
	select {
	case <-time.After(s.answerDelay()):
	case <-r.Context().Done():
		return
	}
	s.holdDown(r)
	if v, ok := r.Context().Value(viewKey{}).(*view); ok {
		if rows, ok := body["rows"].([]wireRow); ok {
			body["rows"] = v.rows(rows)
		}
	}
	body["now_ms"] = time.Since(s.start).Milliseconds()
	writeJSON(w, status, body)
}

type wireTx struct {
	Expected []struct {
		rowKey
		Version uint64 `json:"ver"`
	} `json:"expected"`
	Upserts []struct {
		rowKey
		Value []byte `json:"value"`
	} `json:"upserts"`
	Remove []rowKey `json:"remove"`
	Across bool     `json:"across"`
}

// check returns why the store refuses a transaction, and 0 if it does not.
func (tx *wireTx) check(size int) (status int, reason string) {
	if n := len(tx.Expected) + len(tx.Upserts) + len(tx.Remove); n > maxEntries || size > maxTxBytes {
		return http.StatusBadRequest, fmt.Sprintf("%d entries, %d bytes", n, size)
	}
	parts := make(map[string]bool)
	for _, e := range tx.Expected {
		parts[e.Part] = true
	}
	for _, u := range tx.Upserts {
		parts[u.Part] = true
		if u.Table == "op" || u.Table == "servers" {
			return http.StatusForbidden, "table"
		}
		if len(u.Value) == 0 || len(u.Value) > maxRowBytes {
			return http.StatusBadRequest, "size of a row"
		}
	}
	for _, k := range tx.Remove {
		parts[k.Part] = true
	}
	if len(parts) > 1 && !tx.Across {
		return http.StatusBadRequest, "more than one part"
	}
	return 0, ""
}

// apply carries out a transaction. It returns the current rows if a condition does not hold.
func (s *Store) apply(tx *wireTx) (version uint64, current []wireRow, conflict bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expected {
		row, ok := s.rows[e.rowKey]
		if row.deleted && e.Version != 0 || !row.deleted && row.version != e.Version {
			conflict = true
		}
		if ok && !row.deleted {
			current = append(current, wireRow{rowKey: e.rowKey, Value: row.value, Version: row.version})
		}
	}
	if conflict {
		return s.version, current, true
	}
	s.version++
	for _, u := range tx.Upserts {
		s.write(u.rowKey, storedRow{value: u.Value, version: s.version})
	}
	for _, k := range tx.Remove {
		if row, ok := s.rows[k]; ok && !row.deleted {
			s.write(k, storedRow{version: s.version, deleted: true})
		}
	}
	return s.version, nil, false
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx wireTx
	size, err := readJSON(r, &tx)
	if err != nil {
		s.answer(w, r, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	if status, reason := tx.check(size); status != 0 {
		s.mu.Lock()
		s.refused++
		first := s.refused == 1
		s.mu.Unlock()
		if first {
			s.rec.add("store refuses a transaction: %s", reason)
		}
		s.answer(w, r, status, map[string]any{"error": reason})
		return
	}
	drawn := s.share()
	lost, late := s.shares()
	if drawn >= lost && drawn < lost+late {
		time.AfterFunc(minLateWrite+time.Duration(s.share()*float64(maxLateWrite-minLateWrite)), func() { s.apply(&tx) })
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	version, current, conflict := s.apply(&tx)
	if drawn < lost {
		// The connection delivers nothing further.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if conflict {
		s.answer(w, r, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": version})
		return
	}
	s.answer(w, r, http.StatusOK, map[string]any{"ver": version})
}

func (s *Store) scan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	rows := []wireRow{}
	for k, row := range s.rows {
		if row.deleted || k.Table != q.Get("table") || k.Part != q.Get("part") || k.Key < q.Get("from") {
			continue
		}
		if to := q.Get("target"); to != "" && k.Key >= to {
			continue
		}
		rows = append(rows, wireRow{rowKey: k, Value: row.value, Version: row.version})
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b wireRow) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > pageRows
	s.answer(w, r, http.StatusOK, map[string]any{"rows": rows[:min(len(rows), pageRows)], "has_more": more, "ver": version})
}

func (s *Store) parts(w http.ResponseWriter, r *http.Request) {
	table, after := r.URL.Query().Get("table"), r.URL.Query().Get("after")
	s.mu.Lock()
	seen := make(map[string]bool)
	for k, row := range s.rows {
		if !row.deleted && k.Table == table && (after == "" || k.Part > after) {
			seen[k.Part] = true
		}
	}
	version := s.version
	s.mu.Unlock()
	parts := make([]string, 0, len(seen))
	for p := range seen {
		parts = append(parts, p)
	}
	sort.Strings(parts)
	s.rec.add("store lists the parts of table %s: %s", table, strings.Join(parts, " "))
	s.answer(w, r, http.StatusOK, map[string]any{"parts": parts, "ver": version})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		s.answer(w, r, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	wait, err := strconv.Atoi(q.Get("wait_ms"))
	if err != nil {
		wait = 0
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.oldest {
			s.mu.Unlock()
			s.answer(w, r, http.StatusGone, map[string]any{"error": "the history is forgotten"})
			return
		}
		rows := []wireRow{}
		for k, row := range s.rows {
			if k.Table == q.Get("table") && row.version > after {
				rows = append(rows, wireRow{rowKey: k, Value: row.value, Version: row.version, Tombstone: row.deleted})
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || wait == 0 {
			slices.SortFunc(rows, func(a, b wireRow) int {
				if a.Version != b.Version {
					return int(a.Version) - int(b.Version)
				}
				return strings.Compare(a.Part+"/"+a.Key, b.Part+"/"+b.Key)
			})
			s.answer(w, r, http.StatusOK, map[string]any{"rows": rows, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}
