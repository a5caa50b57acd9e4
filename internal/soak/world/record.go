package world

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// recorder writes what happens to a file, with the time since the start.
type recorder struct {
	start time.Time

	mu  sync.Mutex
	out io.Writer
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
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
