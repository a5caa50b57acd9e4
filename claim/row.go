package claim

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/provider"
)

// state is the state of a claim row.
type state string

const (
	// stateClaimed means that the request may have run.
	stateClaimed state = "claimed"
	// stateDone means that the request ran and its response was received completely.
	stateDone state = "done"
	// stateReleased means that the request certainly did not run. The row is kept instead of deleted, because a
	// delayed duplicate of the transaction could otherwise create the claim again.
	stateReleased state = "released"
)

// record is the value of a claim row.
type record struct {
	// ID distinguishes several claims of one key.
	ID       string `json:"id"`
	Owner    string `json:"owner"`
	Digest   []byte `json:"digest"`
	State    state  `json:"state"`
	Response []byte `json:"response,omitempty"`
	// Stored reports whether Response holds the response, which may be empty.
	Stored bool `json:"stored,omitempty"`
	// Written is the time of the write in milliseconds since 1970. It is only used to remove rows after [Retention].
	Written int64 `json:"written"`
}

// rowPrefix is the prefix of all claim rows.
const rowPrefix = "claim/"

// rowKey returns the row key of an idempotency key of a team. Idempotency keys are hashed because callers choose their
// length and bytes.
func rowKey(team, key string) string {
	sum := sha256.Sum256([]byte(key))
	return rowPrefix + url.PathEscape(team) + "/" + hex.EncodeToString(sum[:])
}

func (r record) encode() []byte {
	// A record has no field that fails to encode.
	data, _ := json.Marshal(r)
	return data
}

func decode(row provider.Row) (record, error) {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return record{}, eris.Wrapf(err, "decode row %q", row.Key)
	}
	return r, nil
}

// refusal returns the error for a new claim with the digest, or nil if the claim can replace the record.
func (r record) refusal(digest [32]byte) error {
	switch {
	case r.State == stateReleased:
		return nil
	case !bytes.Equal(r.Digest, digest[:]):
		return ErrMismatch
	}
	return &TakenError{Done: r.State == stateDone, Stored: r.Stored, Response: r.Response}
}

func (r record) writtenBefore(t time.Time) bool {
	return time.UnixMilli(r.Written).Before(t)
}
