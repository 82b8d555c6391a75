package steering

import (
	"slices"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/placement"
)

// Token stands for a run of a backend server in the packets of a flow. It is a
// digest, so that all instances derive the same one without agreement.
type Token uint32

// tokensPerServer is the number of tokens of a server. Two of 30,000 servers share a first
// code with a probability of 0.1; the second one then distinguishes them.
const tokensPerServer = 2

// tokenOf returns one of the codes of a server. 0 is left to packets without a token.
func tokenOf(id model.ServerID, started int64, variant uint64) Token {
	h := placement.Mix(placement.HashString(string(id))+variant, uint64(started))
	return Token(max(1, uint32(h)))
}

// TokenIndex finds servers by the tokens in packets.
type TokenIndex struct {
	byToken map[Token]*Server
	// ambiguous holds the tokens that more than one server has.
	ambiguous map[Token]bool
}

// NewTokenIndex indexes servers and sets their tokens. Every server gets its first
// code that no other server has.
func NewTokenIndex(servers []*Server) *TokenIndex {
	t := &TokenIndex{byToken: make(map[Token]*Server, tokensPerServer*len(servers)), ambiguous: map[Token]bool{}}
	for _, s := range servers {
		for variant := range uint64(tokensPerServer) {
			token := tokenOf(s.ID, s.Started, variant)
			if other := t.byToken[token]; other != nil && other != s {
				t.ambiguous[token] = true
			}
			t.byToken[token] = s
		}
	}
	for _, s := range servers {
		s.Token = 0
		for variant := range uint64(tokensPerServer) {
			if token := tokenOf(s.ID, s.Started, variant); s.Token == 0 && !t.ambiguous[token] {
				s.Token = token
			}
		}
	}
	return t
}

// Find returns the server of a token, or nil. A token that several servers share
// names none of them.
func (t *TokenIndex) Find(token Token) *Server {
	if t == nil || t.ambiguous[token] {
		return nil
	}
	return t.byToken[token]
}

// Servers returns the servers in the order of their identifiers.
func (t *TokenIndex) Servers() []*Server {
	seen := make(map[*Server]bool, len(t.byToken))
	var all []*Server
	for _, s := range t.byToken {
		if !seen[s] {
			seen[s] = true
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b *Server) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		default:
			return int(a.Started - b.Started)
		}
	})
	return all
}
