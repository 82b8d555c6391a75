package port

import "github.com/ansel1/merry/v2"

// Errors that adapters return in place of the errors of their libraries.
var (
	// ErrNotFound means that the key or the instance does not exist.
	ErrNotFound = merry.Sentinel("not found")
	// ErrUnavailable means that the remote end did not respond in time.
	ErrUnavailable = merry.Sentinel("unavailable")
	// ErrRemote means that the remote end responded and rejected the call.
	ErrRemote = merry.Sentinel("call rejected by the remote end")
	// ErrForged means that a message failed authentication.
	ErrForged = merry.Sentinel("message failed authentication")
	// ErrTooLarge means that a message or value exceeds its size limit.
	ErrTooLarge = merry.Sentinel("message too large")
	// ErrTruncated means that a packet or a body ends before its announced length.
	ErrTruncated = merry.Sentinel("truncated")
	// ErrMalformed means that a packet or a document does not have the expected format.
	ErrMalformed = merry.Sentinel("malformed")
	// ErrCompacted means that the registry has compacted the requested history away.
	ErrCompacted = merry.Sentinel("history is compacted")
	// ErrWoken means that a call that waits was told to return without a result.
	ErrWoken = merry.Sentinel("woken")
	// ErrBusy means that the remote end rejected the call because of a rate limit.
	ErrBusy = merry.Sentinel("rate limit exceeded")
)
