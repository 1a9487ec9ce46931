// Package identity issues, stores and loads the certificates of the fleet's processes
// and checks those of their peers. They are signed by the fleet's own authority.
//
// Each certificate has one URI name, egretreach://ROLE/HOST, which is the identity of the
// process. It has the form of a SPIFFE ID with another scheme.
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

// Identity is the role and the host of a process, as its certificate states them. The
// host of an operator is the operator's name.
type Identity struct {
	Role host.Role
	Host host.ID
}

// String returns the URI form.
func (i Identity) String() string { return i.uri().String() }

func (i Identity) uri() *url.URL {
	return &url.URL{Scheme: scheme, Host: string(i.Role), Path: "/" + string(i.Host)}
}

// FromCertificate returns the identity in a certificate. It does not verify the
// certificate.
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

// FromConnectionState returns the peer's identity after a TLS handshake.
func FromConnectionState(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, errors.New("peer gave no certificate")
	}
	return FromCertificate(state.PeerCertificates[0])
}
