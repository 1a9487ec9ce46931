package identity

import (
	"crypto/tls"
	"crypto/x509"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/link/message"
)

// Credentials hold the certificate of a process and the authorities that it trusts.
// They may be replaced while connections are open. New handshakes use the new ones.
type Credentials struct {
	current atomic.Pointer[loadedKeys]
	// unverified accepts any certificate of a peer without a check of its signature.
	unverified bool
}

type loadedKeys struct {
	self Identity
	pair tls.Certificate
	pool *x509.CertPool
	// notAfter is the end of the certificate's validity.
	notAfter time.Time
}

// NewCredentials returns credentials with a process's key pair and the PEM bundle of
// the authorities that it trusts.
func NewCredentials(pair KeyPair, authorities []byte) (*Credentials, error) {
	c := &Credentials{}
	return c, c.Replace(pair, authorities)
}

// Replace replaces the key pair and the bundle. The new certificate must be for the same
// identity. On error the old ones stay in use.
func (c *Credentials) Replace(pair KeyPair, authorities []byte) error {
	old := c.current.Load()
	if err := c.load(pair, authorities); err != nil {
		return err
	}
	if self := c.Self(); old != nil && old.self != self {
		c.current.Store(old)
		return errors.Errorf("the new certificate is for %s, not for %s", self, old.self)
	}
	return nil
}

// load parses a key pair and a bundle and makes them current.
func (c *Credentials) load(pair KeyPair, authorities []byte) error {
	cert, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return errors.Wrap(err, "certificate and key")
	}
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	self, err := FromCertificate(leaf)
	if err != nil {
		return err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authorities) {
		return errors.New("authority bundle holds no certificate")
	}
	c.current.Store(&loadedKeys{self: self, pair: cert, pool: roots, notAfter: leaf.NotAfter})
	return nil
}

// Self returns the identity in the process's own certificate.
func (c *Credentials) Self() Identity { return c.current.Load().self }

// LastingSecret returns what only this process knows and has again after a restart: its private key. On a private network, where every process
// is trusted and keys don't outlive a process, it returns the identity, which is no secret.
func (c *Credentials) LastingSecret() ([]byte, error) {
	now := c.current.Load()
	if c.unverified {
		return []byte(now.self.String()), nil
	}
	secret, err := x509.MarshalPKCS8PrivateKey(now.pair.PrivateKey)
	return secret, errors.Wrap(err, "encode private key")
}

// Server returns the TLS configuration of a listener.
func (c *Credentials) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{message.Protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			now := c.current.Load()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{message.Protocol},
				Certificates: []tls.Certificate{now.pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    now.pool,
			}
			if c.unverified {
				config.ClientAuth = tls.RequireAnyClientCert
			}
			return config, nil
		},
	}
}

// Client returns the TLS configuration of a dialler. Certificates contain an identity
// instead of a host name, so VerifyConnection checks the chain instead of crypto/tls.
func (c *Credentials) Client() *tls.Config {
	now := c.current.Load()
	verify := now.verifyServer
	if c.unverified {
		verify = verifyHasIdentity
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{message.Protocol},
		Certificates:       []tls.Certificate{now.pair},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain; there are no host names.
		VerifyConnection:   verify,
	}
}

// verifyHasIdentity checks only that the peer's certificate contains an identity.
func verifyHasIdentity(state tls.ConnectionState) error {
	_, err := FromConnectionState(state)
	return err
}

func (l *loadedKeys) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer gave no certificate")
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:     l.pool,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return errors.Wrap(err, "peer certificate")
	}
	_, err = FromConnectionState(state)
	return err
}
