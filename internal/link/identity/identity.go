// Package identity gives each process a certificate of the fleet's own authority
// and checks the certificates of its peers.
//
// A certificate's one URI name, egretreach://ROLE/HOST, is the peer's identity
// (the form of a SPIFFE ID, with a scheme of its own).
package identity

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

const scheme = "egretreach"

// Identity is who a process is.
type Identity struct {
	Role host.Role
	Host host.ID
}

// String returns the URI form.
func (i Identity) String() string { return i.uri().String() }

func (i Identity) uri() *url.URL {
	return &url.URL{Scheme: scheme, Host: string(i.Role), Path: "/" + string(i.Host)}
}

// FromCertificate reads the identity out of a verified certificate.
func FromCertificate(cert *x509.Certificate) (Identity, error) {
	for _, u := range cert.URIs {
		if u.Scheme != scheme {
			continue
		}
		id := Identity{Role: host.Role(u.Host), Host: host.ID(strings.TrimPrefix(u.Path, "/"))}
		if id.Host == "" {
			return Identity{}, errors.Errorf("certificate names no host in %q", u)
		}
		return id, nil
	}
	return Identity{}, errors.New("certificate carries no egretreach identity")
}

// FromConnectionState reads the peer's identity out of a finished handshake.
func FromConnectionState(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, errors.New("peer gave no certificate")
	}
	return FromCertificate(state.PeerCertificates[0])
}
