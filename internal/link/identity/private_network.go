package identity

import (
	"time"

	"github.com/pkg/errors"
)

// NewForPrivateNetwork returns credentials with a self-issued certificate, for a network
// in which every process is trusted. The identities of peers are accepted unverified. It
// is for platforms that provide no keys.
func NewForPrivateNetwork(id Identity, now time.Time) (*Credentials, error) {
	credentials := &Credentials{unverified: true}
	return credentials, credentials.SetIdentity(id, now)
}

// SetIdentity changes the identity of credentials that NewForPrivateNetwork returned, for
// links that are opened afterwards. It returns an error for other credentials.
func (c *Credentials) SetIdentity(id Identity, now time.Time) error {
	if !c.unverified {
		return errors.Errorf("the certificate of %s names it; it can't become %s", c.Self(), id)
	}
	authority, err := NewAuthority(now, DefaultAuthorityValidity)
	if err != nil {
		return err
	}
	pair, err := authority.Issue(id, now, DefaultAuthorityValidity)
	if err != nil {
		return err
	}
	own, err := authority.KeyPair()
	if err != nil {
		return err
	}
	return c.load(pair, own.Certificate)
}
