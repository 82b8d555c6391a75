package port

import "github.com/ansel1/merry/v2"

// Errors that adapters convert the errors of their libraries to.
var (
	// ErrNotFound means that the key or the instance does not exist.
	ErrNotFound = merry.Sentinel("not found")
	// ErrUnavailable means that the other end did not answer in time.
	ErrUnavailable = merry.Sentinel("unavailable")
	// ErrRemote means that the other end answered and refused the call.
	ErrRemote = merry.Sentinel("refused by the other end")
	// ErrForged means that a message failed authentication.
	ErrForged = merry.Sentinel("message failed authentication")
	// ErrTooLarge means that a message or value is over its size limit.
	ErrTooLarge = merry.Sentinel("message too large")
	// ErrTruncated means that a packet or a body ends before its announced length.
	ErrTruncated = merry.Sentinel("truncated")
	// ErrMalformed means that a packet or a document is not of the expected format.
	ErrMalformed = merry.Sentinel("malformed")
	// ErrCompacted means that the registry no longer has the history asked for.
	ErrCompacted = merry.Sentinel("history is compacted")
	// ErrBusy means that the other end refused the call because of its rate.
	ErrBusy = merry.Sentinel("too many calls")
)
