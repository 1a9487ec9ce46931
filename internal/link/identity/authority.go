package identity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"time"

	"github.com/pkg/errors"
)

// DefaultAuthorityValidity is the validity period of a fleet's authority.
const DefaultAuthorityValidity = 10 * 365 * 24 * time.Hour

// DefaultLeafValidity is the default validity period of a process certificate.
const DefaultLeafValidity = 365 * 24 * time.Hour

const (
	// clockSkew is how far the validity starts before the time of issue, so that peers
	// whose clocks are behind accept a new certificate.
	clockSkew      = 5 * time.Minute
	serialBits     = 127
	pemCertificate = "CERTIFICATE"
	pemPrivateKey  = "PRIVATE KEY"
)

// Authority is the certificate authority (CA) of a fleet.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// KeyPair is a certificate and its private key in PEM form.
type KeyPair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority creates an authority that is valid from now for life.
func NewAuthority(now time.Time, life time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "authority key")
	}
	template, err := newTemplate("egretreach fleet authority", now, life)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign authority")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse authority")
	}
	return &Authority{cert: cert, key: key}, nil
}

// LoadAuthority parses an authority from its PEM key pair.
func LoadAuthority(pair KeyPair) (*Authority, error) {
	loaded, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	cert, err := x509.ParseCertificate(loaded.Certificate[0])
	if err != nil {
		return nil, errors.Wrap(err, "authority certificate")
	}
	key, ok := loaded.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !cert.IsCA {
		return nil, errors.New("not an authority made by egretreach keys init")
	}
	return &Authority{cert: cert, key: key}, nil
}

// KeyPair returns the certificate and the key of the authority.
func (a *Authority) KeyPair() (KeyPair, error) { return encodePair(a.cert.Raw, a.key) }

// Issue creates a key and a certificate for id that is valid from now for life.
func (a *Authority) Issue(id Identity, now time.Time, life time.Duration) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "key")
	}
	template, err := newTemplate(string(id.Host), now, life)
	if err != nil {
		return KeyPair{}, err
	}
	template.URIs = []*url.URL{id.uri()}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "sign certificate")
	}
	return encodePair(der, key)
}

func newTemplate(name string, now time.Time, life time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(life),
	}, nil
}

func encodePair(der []byte, key *ecdsa.PrivateKey) (KeyPair, error) {
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "encode key")
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: pemPrivateKey, Bytes: raw}),
	}, nil
}
