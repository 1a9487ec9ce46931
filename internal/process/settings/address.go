package settings

import (
	"net/netip"
	"net/url"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// Address is an IP address and port. Host names are refused, since the daemons resolve none.
type Address string

// UnmarshalYAML implements yaml.BytesUnmarshaler.
func (a *Address) UnmarshalYAML(data []byte) error {
	var text string
	if err := yaml.Unmarshal(data, &text); err != nil {
		return errors.New("is not an IP address and port")
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		return errors.Errorf("%q is not an IP address and port, such as 10.0.0.7:7000; host names are not accepted", text)
	}
	*a = Address(text)
	return nil
}

// String returns the address as text.
func (a Address) String() string { return string(a) }

// isUnspecified reports whether the IP address is 0.0.0.0 or ::.
func (a Address) isUnspecified() bool {
	parsed, err := netip.ParseAddrPort(string(a))
	return err == nil && parsed.Addr().IsUnspecified()
}

// withPortOf returns the IP address of a with the port of other. It returns a if one of them is
// invalid.
func (a Address) withPortOf(other Address) Address {
	own, err := netip.ParseAddrPort(string(a))
	if err != nil {
		return a
	}
	parsed, err := netip.ParseAddrPort(string(other))
	if err != nil {
		return a
	}
	return Address(netip.AddrPortFrom(own.Addr(), parsed.Port()).String())
}

// URL is an http URL whose host is an IP address.
type URL string

// UnmarshalYAML implements yaml.BytesUnmarshaler.
func (u *URL) UnmarshalYAML(data []byte) error {
	var text string
	if err := yaml.Unmarshal(data, &text); err != nil {
		return errors.New("is not a URL")
	}
	if !isPlainURL(text) {
		return errors.Errorf("%q is not a URL such as http://127.0.0.1:8000; host names are not accepted", text)
	}
	*u = URL(text)
	return nil
}

// isPlainURL reports whether text is an http URL with an IP address and without user and query.
func isPlainURL(text string) bool {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Scheme != "http" || parsed.User != nil || parsed.RawQuery != "" {
		return false
	}
	_, err = netip.ParseAddr(parsed.Hostname())
	return err == nil
}

// String returns the URL as text.
func (u URL) String() string { return string(u) }
