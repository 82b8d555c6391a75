package wire

import "github.com/cespare/xxhash/v2"

// Instance is an entry of the platform's instance list.
type Instance struct {
	ID             string `json:"id"`
	Zone           string `json:"zone"`
	State          string `json:"state"`
	FlowAddress    string `json:"flow_address"`
	PeerAddress    string `json:"peer_address"`
	RequestAddress string `json:"request_address"`
}

// InstanceList is the platform's list of instances in the states live and leaving.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// RequestKind is a request kind in a release note.
type RequestKind struct {
	Name         string `json:"name"`
	Method       string `json:"method"`
	PathPrefix   string `json:"path_prefix"`
	Idempotent   bool   `json:"idempotent"`
	Class        string `json:"class"`
	SharePercent int    `json:"share_percent"`
}

// Service is a service in a release note.
type Service struct {
	ID               uint32        `json:"id"`
	Name             string        `json:"name"`
	Tenant           string        `json:"tenant"`
	Host             string        `json:"host"`
	VirtualAddress   string        `json:"virtual_address"`
	IdleTimeoutMs    int           `json:"idle_timeout_ms"`
	RequestTimeoutMs int           `json:"request_timeout_ms"`
	MaxBodyBytes     int64         `json:"max_body_bytes"`
	Kinds            []RequestKind `json:"kinds"`
}

// Server is a backend server in a release note.
type Server struct {
	ID             string `json:"id"`
	Service        string `json:"service"`
	Zone           string `json:"zone"`
	Weight         int    `json:"weight"`
	Slots          int    `json:"slots"`
	Connections    int    `json:"connections"`
	State          string `json:"state"`
	FlowAddress    string `json:"flow_address"`
	RequestAddress string `json:"request_address"`
}

// Changes lists what a release note adds or changes.
type Changes struct {
	Zones    []string  `json:"zones,omitempty"`
	Services []Service `json:"services,omitempty"`
	Servers  []Server  `json:"servers,omitempty"`
}

// Withdrawals lists what a release note withdraws, by name or identifier.
type Withdrawals struct {
	Zones    []string `json:"zones,omitempty"`
	Services []string `json:"services,omitempty"`
	Servers  []string `json:"servers,omitempty"`
}

// Note is a release note.
type Note struct {
	Format    int         `json:"format"`
	Version   uint64      `json:"version"`
	Base      uint64      `json:"base"`
	Added     Changes     `json:"added"`
	Changed   Changes     `json:"changed"`
	Withdrawn Withdrawals `json:"withdrawn"`
}

// LatestVersion is the value of the key release/latest.
type LatestVersion struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// ResponseBody is the body of a backend server's response. Digest covers the whole
// request, so that a caller detects a response to another request.
type ResponseBody struct {
	Digest string `json:"digest"`
	Server string `json:"server"`
	Pad    string `json:"pad"`
}

// RequestDigest hashes what identifies a request to its backend server. body is
// the hash of the request body, because bodies are streamed.
func RequestDigest(host, method, uri, key string, body uint64) uint64 {
	hash := xxhash.New()
	for _, part := range []string{host, method, uri, key} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	var bodyBytes [8]byte
	for i := range bodyBytes {
		bodyBytes[i] = byte(body >> (8 * i))
	}
	_, _ = hash.Write(bodyBytes[:])
	return hash.Sum64()
}
