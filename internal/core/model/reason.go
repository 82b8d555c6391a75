package model

// Reason is a code that explains a decision. It is counted in the metrics, shown
// to operators and sent to callers in the Outcome-Reason header.
type Reason uint8

// Reasons for decisions about packets, requests and notes.
const (
	ReasonNone Reason = iota

	// Packets.
	ReasonKnownFlow     // the flow has a record and keeps its server
	ReasonHint          // sent directly to the server that the flow's owner named in a hint
	ReasonTableChoice   // server that the current lookup table selects for a new flow
	ReasonAlternative   // another server, because the first choice accepts no new flow or did not answer
	ReasonOtherZone     // server of another zone, because the owner's zone has none for the flow
	ReasonException     // this instance took the flow over and keeps the server of its hint or copy
	ReasonPeerRecord    // server that another instance named, or found here for its lookup
	ReasonRetainedTable // no record was found: server that a retained former table selects
	ReasonRelayToOwner  // forwarded to the instance that owns the flow
	ReasonRelayLookup   // forwarded to an instance that may have a record, or returned as not found
	ReasonTruncated
	ReasonMalformed
	ReasonForged
	ReasonReplayed    // sequence number that the sender has used before
	ReasonTooManyHops // forwarded by more instances than allowed
	ReasonQueueFull
	ReasonTableFull // no room for another flow record

	// Flows that carry a token.
	ReasonLeastLoad    // new flow, sent to the least loaded server that accepts it
	ReasonTrial        // new flow, sent to a server that was not reached by the last probe or is being probed
	ReasonUnknownToken // no server has the token
	ReasonRouteRemoved
	ReasonSendFailed
	ReasonAdmitted // new flow of a service that is short of capacity, within the limit
	ReasonReserve  // new flow beyond the limit, from the part of the least urgent flows
	ReasonHeld     // new flow beyond the limit, which the caller's retransmission may still open

	// Packets and requests.
	ReasonStaleView // the view is missing or has expired
	ReasonNoConfiguration
	ReasonUnknownService
	ReasonNoCapacity
	ReasonZoneWithdrawn
	ReasonServerRemoved
	ReasonServerFailed
	ReasonServerDraining
	ReasonServerCold        // only the server's home instance gives it new work
	ReasonServerQuarantined // its address belonged to another service until recently
	ReasonNoOwner           // no live instance can own the request's key
	ReasonIdle              // no packets within the idle timeout; the normal end of a flow

	// Requests.
	ReasonOverloaded
	ReasonShed // by the server
	ReasonClassLimit
	ReasonTenantLimit // no memory for request bodies is left to the tenant
	ReasonMissingKey
	ReasonBadAttempt
	ReasonBadRequest
	ReasonKeyReused             // same key as another request with different content
	ReasonRepeatedAttempt       // attempt number not above that of an earlier attempt
	ReasonEarlierAttemptUnknown // an earlier attempt may have run
	ReasonInProgress            // an earlier attempt is still running
	ReasonAlreadyCompleted
	ReasonPermitExpired // not sent within the validity of the key owner's permit
	ReasonDeadlinePassed
	ReasonCallerCancelled
	ReasonTooLarge
	ReasonServerSilent // no answer in time
	ReasonAnswerTruncated
	ReasonAnswerMismatch // the answer belongs to another request
	ReasonPeerUnreachable
	ReasonShuttingDown
	ReasonRetryBudget // the budget for retries is used up

	// Hedged requests and openings of flows.
	ReasonHedged              // sent to a second server as well
	ReasonHedgeWon            // the second server answered first
	ReasonHedgeCancelled      // a copy of the request or SYN was not needed
	ReasonHedgeDeniedLimit    // the budget for hedges is used up
	ReasonHedgeDeniedCapacity // no free capacity for a copy, or the service is slow as a whole

	// Release notes.
	ReasonNoteApplied
	ReasonNoteOld // not newer than the note in force
	ReasonNoteGap // an earlier note is missing
	ReasonNoteMalformed
	ReasonNoteContradictory
	ReasonNoteTooLarge
	ReasonNoteFormat   // unsupported format number
	ReasonNoteConflict // the same version with different content

	reasonCount
)

var reasonNames = [reasonCount]string{
	ReasonNone:                  "none",
	ReasonKnownFlow:             "known_flow",
	ReasonHint:                  "hint",
	ReasonTableChoice:           "table_choice",
	ReasonAlternative:           "alternative",
	ReasonOtherZone:             "other_zone",
	ReasonException:             "exception",
	ReasonPeerRecord:            "peer_record",
	ReasonRetainedTable:         "retained_table",
	ReasonRelayToOwner:          "relay_to_owner",
	ReasonRelayLookup:           "relay_lookup",
	ReasonTruncated:             "truncated",
	ReasonMalformed:             "malformed",
	ReasonForged:                "forged",
	ReasonReplayed:              "replayed",
	ReasonTooManyHops:           "too_many_hops",
	ReasonQueueFull:             "queue_full",
	ReasonTableFull:             "table_full",
	ReasonLeastLoad:             "least_load",
	ReasonTrial:                 "trial",
	ReasonUnknownToken:          "unknown_token",
	ReasonRouteRemoved:          "route_removed",
	ReasonSendFailed:            "send_failed",
	ReasonAdmitted:              "admitted",
	ReasonReserve:               "reserve",
	ReasonHeld:                  "held",
	ReasonStaleView:             "stale_view",
	ReasonNoConfiguration:       "no_configuration",
	ReasonUnknownService:        "unknown_service",
	ReasonNoCapacity:            "no_capacity",
	ReasonZoneWithdrawn:         "zone_withdrawn",
	ReasonServerRemoved:         "server_removed",
	ReasonServerFailed:          "server_failed",
	ReasonServerDraining:        "server_draining",
	ReasonServerCold:            "server_cold",
	ReasonServerQuarantined:     "server_quarantined",
	ReasonNoOwner:               "no_owner",
	ReasonIdle:                  "idle",
	ReasonOverloaded:            "overloaded",
	ReasonShed:                  "shed",
	ReasonClassLimit:            "class_limit",
	ReasonTenantLimit:           "tenant_limit",
	ReasonMissingKey:            "missing_key",
	ReasonBadAttempt:            "bad_attempt",
	ReasonBadRequest:            "bad_request",
	ReasonKeyReused:             "key_reused",
	ReasonRepeatedAttempt:       "repeated_attempt",
	ReasonEarlierAttemptUnknown: "earlier_attempt_unknown",
	ReasonInProgress:            "in_progress",
	ReasonAlreadyCompleted:      "already_completed",
	ReasonPermitExpired:         "permit_expired",
	ReasonDeadlinePassed:        "deadline_passed",
	ReasonCallerCancelled:       "caller_cancelled",
	ReasonTooLarge:              "too_large",
	ReasonServerSilent:          "server_silent",
	ReasonAnswerTruncated:       "answer_truncated",
	ReasonAnswerMismatch:        "answer_mismatch",
	ReasonPeerUnreachable:       "peer_unreachable",
	ReasonShuttingDown:          "shutting_down",
	ReasonRetryBudget:           "retry_budget",
	ReasonHedged:                "hedged",
	ReasonHedgeWon:              "won",
	ReasonHedgeCancelled:        "cancelled",
	ReasonHedgeDeniedLimit:      "denied_limit",
	ReasonHedgeDeniedCapacity:   "denied_capacity",
	ReasonNoteApplied:           "note_applied",
	ReasonNoteOld:               "note_old",
	ReasonNoteGap:               "note_gap",
	ReasonNoteMalformed:         "note_malformed",
	ReasonNoteContradictory:     "note_contradictory",
	ReasonNoteTooLarge:          "note_too_large",
	ReasonNoteFormat:            "note_format",
	ReasonNoteConflict:          "note_conflict",
}

// String returns the code in the form used by metrics and headers.
func (r Reason) String() string {
	if r >= reasonCount {
		return "invalid"
	}
	return reasonNames[r]
}

// Reasons returns all reasons in ascending order, so that adapters can create one
// counter for each.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount)
	for r := ReasonNone; r < reasonCount; r++ {
		all = append(all, r)
	}
	return all
}

// Outcome states to a caller whether its request ran.
type Outcome uint8

const (
	// OutcomeUnknown means that the request may have run or may still run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that the request did not run and will not run.
	OutcomeNotRun
	// OutcomeCompleted means that the server answered the request.
	OutcomeCompleted
)

// String returns the value of the Outcome header.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not-run"
	case OutcomeCompleted:
		return "completed"
	default:
		return "outcome-unknown"
	}
}
