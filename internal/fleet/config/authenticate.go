package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// tokenEntry is the hash of a token and the index of its team.
type tokenEntry struct {
	hash [sha256.Size]byte
	team int
}

type tokenIndex []tokenEntry

func newTokenIndex(teams []Team) tokenIndex {
	var index tokenIndex
	for i, t := range teams {
		for _, text := range t.TokenSHA256 {
			entry := tokenEntry{team: i}
			if _, err := hex.Decode(entry.hash[:], []byte(text)); err == nil {
				index = append(index, entry)
			}
		}
	}
	return index
}

// Authenticate returns the team that a bearer token belongs to. The time it takes does
// not depend on which team that is or whether there is one.
func (f *Fleet) Authenticate(token string) (Team, bool) {
	hash := sha256.Sum256([]byte(token))
	found := -1
	for _, entry := range f.tokens {
		same := subtle.ConstantTimeCompare(entry.hash[:], hash[:])
		found = subtle.ConstantTimeSelect(same, entry.team, found)
	}
	if found < 0 {
		return Team{}, false
	}
	return f.Teams[found], true
}
