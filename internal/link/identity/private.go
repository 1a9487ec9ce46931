package identity

import (
	"time"

	"github.com/pkg/errors"
)

// NewPrivate returns credentials for a network whose every process is trusted: peers
// say who they are, and nobody checks it. It is for platforms that provide no keys.
func NewPrivate(id Identity, now time.Time) (*Credentials, error) {
	credentials := &Credentials{private: true}
	return credentials, credentials.Rename(id, now)
}

// Rename gives private credentials another identity, for links that are opened from now on.
// Others refuse it.
func (c *Credentials) Rename(id Identity, now time.Time) error {
	if !c.private {
		return errors.Errorf("the certificate of %s names it; it can't become %s", c.Self(), id)
	}
	authority, err := NewAuthority(now, DefaultAuthorityLife)
	if err != nil {
		return err
	}
	pair, err := authority.Issue(id, now, DefaultAuthorityLife)
	if err != nil {
		return err
	}
	own, err := authority.Pair()
	if err != nil {
		return err
	}
	return c.load(pair, own.Certificate)
}
