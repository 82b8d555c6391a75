// Package request decides how requests are handled. It deduplicates non-idempotent
// requests, allocates server slots and runs the state machine of each request.
// Engine takes events and returns actions; it does no I/O.
package request

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// ID identifies a request that a caller sent to this instance. It is unique within
// one run of the instance.
type ID uint64

// CallID identifies a call of another instance that waits for a reply.
type CallID uint64

// LeaseID identifies a slot that one instance lends to another. The borrower chooses
// it, so that it can release a slot even if the grant is lost. Package lease is about
// other leases: those that permit an instance to use a cold server.
type LeaseID uint64

// Incoming describes a request of a caller once the front end has read its headers.
type Incoming struct {
	Host   string
	Method string
	Path   string
	// Key is the idempotency key, or empty.
	Key string
	// Attempt counts the caller's transmissions with the same key, from 1. It is 0 if
	// the caller sent none and negative if it is malformed.
	Attempt int
	// Timeout is how much longer the caller waits. It is valid only if HasTimeout
	// is set; otherwise the service's timeout applies.
	Timeout    time.Duration
	HasTimeout bool
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
}

// Epoch identifies the deduplication state of one run of an instance. A restart
// loses that state. The owner of a key does not act on messages with the epoch of an
// earlier run, because they refer to lost state and may be out of date.
type Epoch uint64

// KeyState is the state of a key's request in the records of the key's owner.
type KeyState uint8

const (
	// StatePermitted means that an instance holds a permit to run an attempt and has
	// not reported its end.
	StatePermitted KeyState = iota
	// StateNotRun means that none of the attempts so far has run or will run.
	StateNotRun
	// StateUnknown means that an attempt may have run and that this will not be
	// resolved.
	StateUnknown
	// StateCompleted means that a server answered an attempt.
	StateCompleted
)

// StoredAnswer is an answer that the owner of its key stores. The body is at most
// MaxStoredAnswerBytes long.
type StoredAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Messages between instances.
type (
	// Admit asks the owner of a key for a permit to run an attempt.
	Admit struct {
		// Epoch is the owner's epoch that the sender last received, or 0.
		Epoch   Epoch
		Service model.ServiceID
		Key     string
		Attempt int
		// Digest is BodyRead.Digest. All attempts with a key must have the same one.
		Digest uint64
		// Deadline is how much longer the caller waits.
		Deadline time.Duration
	}
	// Admission is the owner's reply to Admit.
	Admission struct {
		// Epoch is the owner's current epoch. WrongEpoch is set if Admit had another
		// one; the owner has then not decided anything.
		Epoch      Epoch
		WrongEpoch bool
		// UnknownKey is set if the owner has no record of the first attempt.
		UnknownKey bool
		Permitted  bool
		// Validity is the lifetime of the permit. The receiver counts it from the
		// time at which it sent Admit.
		Validity time.Duration
		// Outcome and Reason are those for the caller if no permit is granted.
		Outcome model.Outcome
		Reason  model.Reason
		// Answer is the stored answer if the key's request has completed, or nil.
		Answer *StoredAnswer
	}
	// Report informs the owner of a key how an attempt ended.
	Report struct {
		// Epoch is the owner's epoch with which the attempt was admitted.
		Epoch   Epoch
		Service model.ServiceID
		Key     string
		Attempt int
		// Digest is 0 if the attempt was refused before its body was read.
		Digest uint64
		State  KeyState
		Answer *StoredAnswer
	}
	// Acquire asks another instance to lend a free slot of a service.
	Acquire struct {
		Lease   LeaseID
		Service model.ServiceID
		Class   string
		// Deadline is how much longer the caller waits.
		Deadline time.Duration
	}
	// Grant is the reply to Acquire. Server is empty if no slot is lent.
	Grant struct {
		Server model.ServerID
		Slot   uint16
	}
	// Release returns a lent slot and reports the behavior of its server.
	Release struct {
		Lease LeaseID
		// Observed reports whether Result and Latency are set. It is false if the
		// dispatch says nothing about the server or did not take place.
		Observed bool
		Result   HealthSignal
		Latency  time.Duration
	}
	// Empty is the reply to Report and Release.
	Empty struct{}
)

// HealthSignal is the evidence that one dispatch gives about the health of its server.
type HealthSignal uint8

const (
	// Success means that the server sent a complete answer.
	Success HealthSignal = iota
	// Failure means that the server could not be reached, broke the connection, sent a
	// truncated or mismatched answer, or answered 502, 503 or 504.
	Failure
	// Timeout means that the server did not answer in time.
	Timeout
	// Shed means that the server rejected the request because it was overloaded.
	Shed
)

// Observation is the health signal of one dispatch, for the control goroutine.
type Observation struct {
	Server  model.ServerID
	Result  HealthSignal
	Latency time.Duration
}

// Result is how a dispatch to a server ended.
type Result uint8

const (
	// Answered means that the complete answer arrived.
	Answered Result = iota
	// NotSent means that no byte of the request was sent or will be sent.
	NotSent
	// ShedByServer means that the server reported that it shed the request without
	// running it.
	ShedByServer
	// NoResponse means that no answer arrived within the response timeout.
	NoResponse
	// ConnectionBroken means that the connection broke when bytes of the request may
	// have been sent.
	ConnectionBroken
	// Truncated means that the answer ended before its full length.
	Truncated
	// Mismatched means that the answer belongs to another request.
	Mismatched
	// Cancelled means that the caller disconnected or that its deadline passed.
	Cancelled
	// BodyFailed means that the caller's body ended early or exceeded the limit when
	// bytes of it had already been sent to the server.
	BodyFailed
)

// Event is an input of the engine.
type Event interface{ event() }

// Events.
type (
	// Arrived starts a request. The engine returns ReadBody or Finish for it.
	Arrived struct {
		ID  ID
		Req Incoming
	}
	// BodyRead follows ReadBody: the start of the body has been read into memory.
	BodyRead struct {
		ID ID
		// Digest is a hash over the method, the path with the query, the length, the
		// Content-Digest header and the buffered start of the body. It is 0 if
		// ReadBody.Digest was not set.
		Digest uint64
		// Complete is set if that is the whole body, so that it can be sent several times.
		Complete bool
	}
	// BodyInvalid follows ReadBody: the body cannot be read or is too large.
	BodyInvalid struct {
		ID     ID
		Reason model.Reason
	}
	// AdmitReplied is the reply to CallAdmit. Failed means that none arrived.
	AdmitReplied struct {
		ID        ID
		Admission Admission
		Failed    bool
	}
	// AcquireReplied is the reply to CallAcquire. Failed means that none arrived.
	AcquireReplied struct {
		ID     ID
		From   model.InstanceID
		Lease  LeaseID
		Grant  Grant
		Failed bool
	}
	// AnswerStarted reports that a dispatch with Hedgeable set gets an answer that is sent
	// to the caller while it arrives. ForwardAnswer follows unless the dispatch is
	// cancelled.
	AnswerStarted struct {
		ID     ID
		Serial uint32
	}
	// DispatchEnded reports the end of a Dispatch.
	DispatchEnded struct {
		ID ID
		// Serial is that of the Dispatch.
		Serial uint32
		Result Result
		// Status is the status of the server's answer.
		Status  int
		Latency time.Duration
		// Replayable means that the complete body is in memory and can be sent again.
		Replayable bool
		// Forwarded means that part of the answer has been sent to the caller.
		Forwarded bool
		// TooLate means that nothing was sent because NotAfter had passed.
		TooLate bool
		// DeadlinePassed means that a Cancelled dispatch ended because of the deadline,
		// not because the caller disconnected.
		DeadlinePassed bool
		// Answer is the answer if Dispatch.StoreAnswer was set and it is small enough
		// to be stored.
		Answer *StoredAnswer
	}
	// CallerDisconnected means that the caller closed its connection.
	CallerDisconnected struct{ ID ID }
	// PeerAdmit is an Admit call of another instance.
	PeerAdmit struct {
		Call CallID
		From model.InstanceID
		Msg  Admit
	}
	// PeerReport is a Report of another instance.
	PeerReport struct {
		From model.InstanceID
		Msg  Report
	}
	// PeerAcquire is an Acquire call of another instance.
	PeerAcquire struct {
		Call CallID
		From model.InstanceID
		Msg  Acquire
	}
	// PeerRelease is a Release of another instance.
	PeerRelease struct {
		From model.InstanceID
		Msg  Release
	}
	// Tick makes the engine handle its expired timers, as every event does. It is due
	// at the time returned by NextTimer.
	Tick struct{}
	// Drain makes the engine refuse new requests from now on.
	Drain struct{}
)

func (Arrived) event()            {}
func (BodyRead) event()           {}
func (BodyInvalid) event()        {}
func (AdmitReplied) event()       {}
func (AcquireReplied) event()     {}
func (AnswerStarted) event()      {}
func (DispatchEnded) event()      {}
func (CallerDisconnected) event() {}
func (PeerAdmit) event()          {}
func (PeerReport) event()         {}
func (PeerAcquire) event()        {}
func (PeerRelease) event()        {}
func (Tick) event()               {}
func (Drain) event()              {}

// Action is an output of the engine.
type Action interface{ action() }

// Actions.
type (
	// ReadBody makes the front end read the start of the body.
	ReadBody struct {
		ID ID
		// MaxBody is the limit of the service for the body, in bytes.
		MaxBody int64
		// Digest is set if BodyRead needs a digest.
		Digest bool
		// Deadline is the caller's deadline.
		Deadline model.Time
	}
	// Dispatch makes the front end send the request to a server.
	Dispatch struct {
		ID ID
		// Serial counts the dispatches of the request.
		Serial uint32
		Server *view.Server
		// NotAfter is the latest time at which the first byte may be sent.
		NotAfter model.Time
		Deadline model.Time
		// ResponseTimeout limits the wait for the status line and headers of the answer.
		ResponseTimeout time.Duration
		Idempotent      bool
		// NewConnection requests a new connection instead of a reused one, because an
		// earlier dispatch got no response or lost its connection.
		NewConnection bool
		// Hedgeable means that a second Dispatch of the request may follow before this one
		// has ended, and that an answer is sent to the caller only after AnswerStarted or
		// DispatchEnded has been accepted.
		Hedgeable bool
		// StoreAnswer requests that DispatchEnded contains the answer if it is small
		// enough to be stored.
		StoreAnswer bool
	}
	// ForwardAnswer makes the front end send the answer of a dispatch to the caller while it
	// arrives.
	ForwardAnswer struct {
		ID     ID
		Serial uint32
	}
	// CancelDispatch cancels a dispatch whose answer is not needed. DispatchEnded follows.
	CancelDispatch struct {
		ID     ID
		Serial uint32
	}
	// CountHedge counts a hedge, or why there was none.
	CountHedge struct{ Reason model.Reason }
	// Finish ends a request. With OutcomeCompleted and no Answer, the front end
	// forwards the answer of the dispatch with the given serial.
	Finish struct {
		ID      ID
		Serial  uint32
		Outcome model.Outcome
		Reason  model.Reason
		Answer  *StoredAnswer
		// RetryAfter is when the caller of a refused request should try again, in whole
		// seconds; 0 if that is not known.
		RetryAfter time.Duration
		// Tenant and Class label the metrics of the request.
		Tenant, Class string
	}
	// CallAdmit sends Admit to the owner of a key; the reply is AdmitReplied.
	CallAdmit struct {
		ID      ID
		To      model.Member
		Msg     Admit
		Timeout time.Duration
	}
	// CallReport sends Report to the owner of a key.
	CallReport struct {
		To  model.Member
		Msg Report
	}
	// CallAcquire sends Acquire to another instance; the reply is AcquireReplied.
	CallAcquire struct {
		ID      ID
		To      model.Member
		Msg     Acquire
		Timeout time.Duration
	}
	// CallRelease returns a slot to its lender.
	CallRelease struct {
		To  model.Member
		Msg Release
	}
	// ReplyAdmit is the reply to PeerAdmit.
	ReplyAdmit struct {
		Call CallID
		Msg  Admission
	}
	// ReplyAcquire is the reply to PeerAcquire.
	ReplyAcquire struct {
		Call CallID
		Msg  Grant
	}
	// Observe passes an observation to the control goroutine.
	Observe struct{ Observation Observation }
	// RecordDecision records a decision that no Finish reports.
	RecordDecision struct {
		Reason  model.Reason
		Subject string
		Detail  string
	}
)

func (ReadBody) action()       {}
func (Dispatch) action()       {}
func (ForwardAnswer) action()  {}
func (CancelDispatch) action() {}
func (CountHedge) action()     {}
func (Finish) action()         {}
func (CallAdmit) action()      {}
func (CallReport) action()     {}
func (CallAcquire) action()    {}
func (CallRelease) action()    {}
func (ReplyAdmit) action()     {}
func (ReplyAcquire) action()   {}
func (Observe) action()        {}
func (RecordDecision) action() {}
