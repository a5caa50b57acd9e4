package worker

// Life is a worker from one start of its process to the next. A worker may start again under its ID. It then knows nothing of before, and
// its clock and the numbers of its exits start anew.
type Life struct {
	ID string `cbor:"1,keyasint"`
	// Incarnation is the start time in Unix milliseconds, and 0 if it is not known. The worker reports it in the registry and in the
	// replies to renewals, and not in those to other commands.
	Incarnation int64 `cbor:"4,keyasint,omitempty"`
}
