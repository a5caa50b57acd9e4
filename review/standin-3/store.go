package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of a transaction of the store, as the pages name them.
const (
	maxEntries  = 100
	maxTxBytes  = 1 << 20
	maxRowBytes = 64 << 10
	pageRows    = 500
	partPage    = 1000
	answerTime  = 4 * time.Millisecond
)

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

// Store is a stand-in for the store of the platform. It keeps rows in memory and executes each call when it arrives.
type Store struct {
	start time.Time

	mu      sync.Mutex
	rows    map[rowKey]storedRow
	version uint64
	changed chan struct{}
	// busy means that the store answers all calls with 503 and does nothing.
	busy bool
}

func newStore() *Store {
	return &Store{start: time.Now(), rows: make(map[rowKey]storedRow), changed: make(chan struct{})}
}

// SetBusy makes the store answer all calls with 503, or ends that.
func (s *Store) SetBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
}

func (s *Store) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// Put writes a row of a worker or the operator.
func (s *Store) Put(key rowKey, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
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

// Get returns the value of a row.
func (s *Store) Get(key rowKey) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key].value
}

func (s *Store) write(key rowKey, row storedRow) {
	s.rows[key] = row
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.scan)
	mux.HandleFunc("GET /rows-parts", s.parts)
	mux.HandleFunc("GET /rows-feed", s.feed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isBusy() {
			writeJSON(w, http.StatusServiceUnavailable, map[string]any{"error": "busy"})
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Store) answer(w http.ResponseWriter, r *http.Request, status int, body map[string]any) {
	select {
	case <-time.After(answerTime):
	case <-r.Context().Done():
		return
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
		if len(u.Value) > maxRowBytes {
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
		s.answer(w, r, status, map[string]any{"error": reason})
		return
	}
	version, current, conflict := s.apply(&tx)
	if conflict {
		s.answer(w, r, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": version})
		return
	}
	s.answer(w, r, http.StatusOK, map[string]any{"ver": version})
}

func (s *Store) scan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
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
	more := len(rows) > limit
	s.answer(w, r, http.StatusOK, map[string]any{"rows": rows[:min(len(rows), limit)], "has_more": more, "ver": version})
}

func (s *Store) parts(w http.ResponseWriter, r *http.Request) {
	table, after := r.URL.Query().Get("table"), r.URL.Query().Get("after")
	s.mu.Lock()
	seen := make(map[string]bool)
	for k, row := range s.rows {
		if !row.deleted && k.Table == table && (!r.URL.Query().Has("after") || k.Part > after) {
			seen[k.Part] = true
		}
	}
	version := s.version
	s.mu.Unlock()
	parts := make([]string, 0, len(seen))
	for p := range seen {
		parts = append(parts, p)
	}
	slices.Sort(parts)
	s.answer(w, r, http.StatusOK, map[string]any{"parts": parts[:min(len(parts), partPage)], "ver": version})
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

func readJSON(r *http.Request, to any) (size int, err error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, err
	}
	return len(data), json.Unmarshal(data, to)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails if the other side has given up.
	_, _ = w.Write(data)
}

// serve serves a handler on an address and returns the address with its port.
func serve(address string, h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: h}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}
