// Package request decides what happens to requests: it deduplicates
// non-idempotent requests and holds the state machine of each request. It is
// driven by typed events and answers with typed actions.
package request

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// ID names a request that a caller sent to this instance. It is unique within
// one run of the instance.
type ID uint64

// CallID names a call of another instance that waits for this instance's reply.
type CallID uint64

// LeaseID names a slot that one instance lends to another. The asking instance
// chooses it, so that it can return a slot whose grant it has not seen.
type LeaseID uint64

// Incoming is what the front end knows of a request once its headers are read.
type Incoming struct {
	Host   string
	Method string
	Path   string
	Key    string
	// Attempt is 0 if the caller gave none and negative if it is malformed.
	Attempt int
	// Timeout is the time that the caller still waits. It counts only if
	// HasTimeout is set; otherwise the service's default applies.
	Timeout    time.Duration
	HasTimeout bool
	// Length is the length of the body in bytes, or -1 if it is not known yet.
	Length int64
}

// Epoch names the memory of keys of one run of an instance. A message that was
// meant for an earlier run is late: the memory that it refers to is gone, and
// what it says may have been overtaken.
type Epoch uint64

// State is what the owner of a key knows about its request.
type State uint8

const (
	// MayRun means that an instance holds a permit and has not reported.
	MayRun State = iota
	// NotRun means that no attempt so far has run or will run.
	NotRun
	// Unknown means that an attempt may have run and nobody will know better.
	Unknown
	// Completed means that the server answered.
	Completed
)

// StoredAnswer is an answer small enough for the owner of its key to remember.
type StoredAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Messages between instances.
type (
	// Admit asks the owner of a key for the permit to run an attempt.
	Admit struct {
		// Epoch is the owner's memory that the sender knows, or 0.
		Epoch   Epoch
		Service model.ServiceID
		Key     string
		Attempt int
		Digest  uint64
		// Deadline is the time that the caller still waits.
		Deadline time.Duration
	}
	// Admission is the owner's reply to Admit.
	Admission struct {
		// Epoch is the owner's memory. With WrongEpoch, the question named
		// another one and nothing was decided.
		Epoch      Epoch
		WrongEpoch bool
		// UnknownKey is set if the owner knows nothing of the first attempt.
		UnknownKey bool
		Permitted  bool
		// Validity is the life of the permit, counted by the receiving instance
		// from before it asked.
		Validity time.Duration
		Outcome  model.Outcome
		Reason   model.Reason
		Answer   *StoredAnswer
	}
	// Report tells the owner of a key what became of an attempt.
	Report struct {
		// Epoch is the owner's memory at the time of the question.
		Epoch   Epoch
		Service model.ServiceID
		Key     string
		Attempt int
		Digest  uint64
		State   State
		Answer  *StoredAnswer
	}
	// Acquire asks another instance for a free slot of a service.
	Acquire struct {
		Lease    LeaseID
		Service  model.ServiceID
		Class    string
		Deadline time.Duration
	}
	// Grant is the reply to Acquire. Server is empty if there is no free slot.
	Grant struct {
		Server model.ServerID
		Slot   uint16
	}
	// Release returns a lent slot and says how the server behaved.
	Release struct {
		Lease LeaseID
		// Observed is false if the slot was not used.
		Observed bool
		Result   Health
		Latency  time.Duration
	}
	// Empty is the reply to Report and Release.
	Empty struct{}
)

// Health is what one dispatch says about its server.
type Health uint8

const (
	// Success means that the server answered in full.
	Success Health = iota
	// Failure means that the server could not be reached, broke the connection,
	// or answered 502, 503 or 504.
	Failure
	// Timeout means that the server did not answer in time.
	Timeout
	// Shed means that the server refused the request as too much.
	Shed
)

// Observation is one observation of a server, for the control goroutine.
type Observation struct {
	Server  model.ServerID
	Result  Health
	Latency time.Duration
}

// Result is what became of one dispatch to a server.
type Result uint8

const (
	// Answered means that the whole answer arrived.
	Answered Result = iota
	// NotSent means that no byte reached the server and none will.
	NotSent
	// ShedByServer means that the server reported that it did not run it.
	ShedByServer
	// Silent means that no answer came in time.
	Silent
	// Broken means that the connection broke after bytes may have been sent.
	Broken
	// Truncated means that the answer ended early.
	Truncated
	// Mismatched means that the answer belongs to another request.
	Mismatched
	// Cancelled means that the caller went away or its deadline passed.
	Cancelled
	// BodyFailed means that the caller's body ended early or was too large
	// after bytes had been sent.
	BodyFailed
)

// Event is an input of the engine.
type Event interface{ event() }

// Events.
type (
	// Arrived opens a request. The engine answers ReadBody or Finish.
	Arrived struct {
		ID  ID
		Req Incoming
	}
	// BodyRead follows ReadBody: the start of the body is in memory.
	BodyRead struct {
		ID ID
		// Digest covers method, path, length and the buffered start of the body.
		Digest uint64
	}
	// BodyInvalid follows ReadBody: the body cannot be read or is too large.
	BodyInvalid struct {
		ID     ID
		Reason model.Reason
	}
	// AdmitReplied is the owner's reply; Failed means that none came.
	AdmitReplied struct {
		ID        ID
		Admission Admission
		Failed    bool
	}
	// GrantReplied is the reply to CallAcquire; Failed means that none came.
	GrantReplied struct {
		ID     ID
		From   model.InstanceID
		Lease  LeaseID
		Grant  Grant
		Failed bool
	}
	// Dispatched reports the end of a dispatch.
	Dispatched struct {
		ID     ID
		Serial uint32
		Result Result
		// Status is the status of the server's answer.
		Status  int
		Latency time.Duration
		// Replayable means that the body can be sent again from memory.
		Replayable bool
		// Forwarded means that a part of the answer went to the caller.
		Forwarded bool
		// TooLate means that nothing was sent because NotAfter had passed.
		TooLate bool
		// DeadlinePassed tells a Cancelled dispatch that ran into the deadline
		// from one whose caller went away.
		DeadlinePassed bool
		// Answer is the answer if it is small enough to be remembered.
		Answer *StoredAnswer
	}
	// CallerGone means that the caller closed its connection.
	CallerGone struct{ ID ID }
	// PeerAdmit is a call of another instance.
	PeerAdmit struct {
		Call CallID
		From model.InstanceID
		Msg  Admit
	}
	// PeerReport is a message of another instance.
	PeerReport struct {
		From model.InstanceID
		Msg  Report
	}
	// PeerAcquire is a call of another instance.
	PeerAcquire struct {
		Call CallID
		From model.InstanceID
		Msg  Acquire
	}
	// PeerRelease is a message of another instance.
	PeerRelease struct {
		From model.InstanceID
		Msg  Release
	}
	// Tick means that the time given by NextTimer has come.
	Tick struct{}
	// Drain means that new requests are refused from now on.
	Drain struct{}
)

func (Arrived) event()      {}
func (BodyRead) event()     {}
func (BodyInvalid) event()  {}
func (AdmitReplied) event() {}
func (GrantReplied) event() {}
func (Dispatched) event()   {}
func (CallerGone) event()   {}
func (PeerAdmit) event()    {}
func (PeerReport) event()   {}
func (PeerAcquire) event()  {}
func (PeerRelease) event()  {}
func (Tick) event()         {}
func (Drain) event()        {}

// Action is an output of the engine.
type Action interface{ action() }

// Actions.
type (
	// ReadBody tells the front end to read the start of the body.
	ReadBody struct {
		ID ID
		// MaxBody is the largest body of the service in bytes.
		MaxBody int64
		// Digest says whether the content digest is needed.
		Digest bool
		// Deadline is the caller's deadline.
		Deadline model.Time
	}
	// Dispatch tells the front end to send the request to a server.
	Dispatch struct {
		ID     ID
		Serial uint32
		Server *view.Server
		// NotAfter is the last moment at which the first byte may be sent.
		NotAfter model.Time
		Deadline model.Time
		// ResponseTimeout bounds the wait for the head of the answer.
		ResponseTimeout time.Duration
		Idempotent      bool
		// Fresh asks for a new connection, since an old one was silent.
		Fresh bool
		// Remember asks for a small answer to be handed to the engine.
		Remember bool
	}
	// Finish ends a request. With OutcomeCompleted and no Answer, the front end
	// forwards the answer that it holds.
	Finish struct {
		ID      ID
		Outcome model.Outcome
		Reason  model.Reason
		Answer  *StoredAnswer
		// Tenant and Class label the metrics of the request.
		Tenant, Class string
	}
	// CallAdmit asks the owner of a key; the reply is AdmitReplied.
	CallAdmit struct {
		ID      ID
		To      model.Member
		Msg     Admit
		Timeout time.Duration
	}
	// CallReport sends a report to the owner of a key.
	CallReport struct {
		To  model.Member
		Msg Report
	}
	// CallAcquire asks for a slot; the reply is GrantReplied.
	CallAcquire struct {
		ID      ID
		To      model.Member
		Msg     Acquire
		Timeout time.Duration
	}
	// CallRelease returns a slot.
	CallRelease struct {
		To  model.Member
		Msg Release
	}
	// ReplyAdmit answers PeerAdmit.
	ReplyAdmit struct {
		Call CallID
		Msg  Admission
	}
	// ReplyAcquire answers PeerAcquire.
	ReplyAcquire struct {
		Call CallID
		Msg  Grant
	}
	// Observe passes an observation to the control goroutine.
	Observe struct{ Observation Observation }
	// Note counts a decision that no Finish reports.
	Note struct {
		Reason  model.Reason
		Subject string
		Detail  string
	}
)

func (ReadBody) action()     {}
func (Dispatch) action()     {}
func (Finish) action()       {}
func (CallAdmit) action()    {}
func (CallReport) action()   {}
func (CallAcquire) action()  {}
func (CallRelease) action()  {}
func (ReplyAdmit) action()   {}
func (ReplyAcquire) action() {}
func (Observe) action()      {}
func (Note) action()         {}
