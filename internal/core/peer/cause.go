package peer

// Cause is why a message was sent. Traffic between instances is counted by cause.
type Cause uint8

// Causes of messages.
const (
	// CauseProbe covers probes of other instances, their answers and indirect probes.
	CauseProbe Cause = iota
	// CauseJoin covers the probes of instances that join and the member lists that they get.
	CauseJoin
	// CauseConfirmation covers messages that announce a revision and its confirmation.
	CauseConfirmation
	// CauseReport covers reports of unreachable, recovered, ended and doubted servers.
	CauseReport
	// CauseChanges covers changes of the registry and CauseListing complete listings.
	CauseChanges
	CauseListing
	// CausePull covers requests for changes or listings.
	CausePull
	// CauseLookup covers questions about the servers of flows and their answers.
	CauseLookup
	// CauseLoad covers load reports.
	CauseLoad
	// Causes is the number of causes.
	Causes
)

// String returns the name used in metrics and logs.
func (c Cause) String() string {
	return [...]string{"probe", "join", "confirmation", "report", "changes", "listing", "pull", "lookup", "load"}[c]
}

// Cause returns why the message was sent.
func (m *Message) Cause() Cause {
	switch {
	case m.Kind == Changes && m.AfterRevision == 0:
		return CauseListing
	case m.Kind == Changes:
		return CauseChanges
	case m.Kind == Pull:
		return CausePull
	case m.Kind == Lookup || m.Kind == LookupAnswer:
		return CauseLookup
	case m.Kind == Load:
		return CauseLoad
	case len(m.UnreachableServers) > 0 || len(m.RecoveredServers) > 0 || len(m.EndedServers) > 0:
		return CauseReport
	case m.Join:
		return CauseJoin
	case m.Kind == Gossip:
		return CauseConfirmation
	default:
		return CauseProbe
	}
}
