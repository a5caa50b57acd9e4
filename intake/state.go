package intake

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
)

// readRows reports whether the store has the rows of a job and of its cancellation.
func readRows(ctx context.Context, s store.Store, id string) (found, cancelled bool, err error) {
	job, cancel := rowkeys.Job(id), rowkeys.Cancel(id)
	rows, err := s.Scan(ctx, job.Table, job.Partition, id, id+"\xff")
	for _, row := range rows.Rows {
		found = found || row.Name == job.Name
		cancelled = cancelled || row.Name == cancel.Name
	}
	return found, cancelled, err
}

// readState reads the state of a job from its rows. It is used while the leader does not answer.
func readState(ctx context.Context, s store.Store, id string) (state work.State, found bool, err error) {
	found, cancelled, err := readRows(ctx, s, id)
	if err != nil || !found {
		return 0, false, err
	}
	progress, err := s.Scan(ctx, rowkeys.Progress(id).Table, "", id, id+"\x00")
	if err != nil {
		return 0, true, err
	}
	if len(progress.Rows) == 1 {
		var p work.Progress
		if err := cbor.Unmarshal(progress.Rows[0].Value, &p); err != nil {
			return 0, true, eris.Wrapf(err, "decode the progress of job %q", id)
		}
		if p.State.Ended() {
			return p.State, true, nil
		}
		state = work.Running
	}
	if cancelled {
		state = work.Cancelled
	}
	return state, true, nil
}
