package identity

import (
	"time"
)

// NewPrivate returns credentials for a network whose every process is trusted: peers
// say who they are, and nobody checks it. It is for platforms that provide no keys.
func NewPrivate(id Identity, now time.Time) (*Credentials, error) {
	authority, err := NewAuthority(now, DefaultAuthorityLife)
	if err != nil {
		return nil, err
	}
	pair, err := authority.Issue(id, now, DefaultAuthorityLife)
	if err != nil {
		return nil, err
	}
	own, err := authority.Pair()
	if err != nil {
		return nil, err
	}
	credentials, err := NewCredentials(pair, own.Certificate)
	if err != nil {
		return nil, err
	}
	credentials.private = true
	return credentials, nil
}
