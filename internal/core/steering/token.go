package steering

import (
	"cmp"
	"slices"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
)

// Token identifies a backend server in the packets of a flow. It is a hash, so all instances
// derive the same token without coordination. It does not tell the runs of a server apart: an
// instance that has not learned of a restart yet sends new flows to the later run, and only the
// server knows which flows it holds.
type Token uint32

// tokensPerServer is the number of candidate tokens of a server. Among 30,000 servers,
// two share their first candidate with a probability of 0.1; the second candidate then
// distinguishes them.
const tokensPerServer = 2

// tokenOf returns a candidate token of a server. It is never 0, the value in packets
// without a token.
func tokenOf(id model.ServerID, variant uint64) Token {
	h := placement.Mix(placement.HashString(string(id)), variant)
	return Token(max(1, uint32(h)))
}

// TokenIndex maps the tokens in packets to servers.
type TokenIndex struct {
	byToken map[Token]*Server
	// ambiguous holds the candidate tokens that several servers share.
	ambiguous map[Token]bool
}

// NewTokenIndex indexes servers, each of which must be there once, and sets their tokens. Each
// server gets its first candidate token that no other server has, or 0 if there is none.
func NewTokenIndex(servers []*Server) *TokenIndex {
	t := &TokenIndex{byToken: make(map[Token]*Server, tokensPerServer*len(servers)), ambiguous: map[Token]bool{}}
	for _, s := range servers {
		for variant := range uint64(tokensPerServer) {
			token := tokenOf(s.ID, variant)
			if other := t.byToken[token]; other != nil && other != s {
				t.ambiguous[token] = true
			}
			t.byToken[token] = s
		}
	}
	for _, s := range servers {
		s.Token = 0
		for variant := range uint64(tokensPerServer) {
			if token := tokenOf(s.ID, variant); s.Token == 0 && !t.ambiguous[token] {
				s.Token = token
			}
		}
	}
	return t
}

// Find returns the server of a token, or nil if the token is unknown or ambiguous. It
// also finds servers by candidate tokens that are not their Token, because an instance
// with a different snapshot may have selected another candidate. A nil index has no
// servers.
func (t *TokenIndex) Find(token Token) *Server {
	if t == nil || t.ambiguous[token] {
		return nil
	}
	return t.byToken[token]
}

// Ambiguous reports whether several servers share the token.
func (t *TokenIndex) Ambiguous(token Token) bool { return t != nil && t.ambiguous[token] }

// Sorted returns the servers in the order of their IDs.
func (t *TokenIndex) Sorted() []*Server {
	seen := make(map[*Server]bool, len(t.byToken))
	var all []*Server
	for _, s := range t.byToken {
		if !seen[s] {
			seen[s] = true
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
