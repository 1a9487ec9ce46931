package identity

import (
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// Names of the files in a vault. AuthoritiesFile, in the same folder, is the bundle for
// the processes.
const (
	authorityFile    = "authority.pem"
	authorityKeyFile = "authority_key.pem"
	previousFile     = "previous_authority.pem"
)

// Vault is the folder in which an operator keeps the fleet's authority. It should not be
// on a host of the fleet.
type Vault struct{ Folder string }

// Init creates the authority. It returns ErrKeys if the vault already has one.
func (v Vault) Init(now time.Time) error {
	authority, err := NewAuthority(now, DefaultAuthorityValidity)
	if err != nil {
		return err
	}
	pair, err := authority.KeyPair()
	if err != nil {
		return err
	}
	return writeFiles(v.Folder, false, []keyFile{
		{authorityKeyFile, pair.Key, privateMode},
		{authorityFile, pair.Certificate, publicMode},
		{AuthoritiesFile, pair.Certificate, publicMode},
	})
}

// Issue writes a keys folder with a new certificate for id, valid from now for life.
// Without replace it returns ErrKeys if one of the files exists.
func (v Vault) Issue(id Identity, folder string, replace bool, now time.Time, life time.Duration) error {
	authority, err := v.authority()
	if err != nil {
		return err
	}
	bundle, err := readFile(v.path(AuthoritiesFile))
	if err != nil {
		return err
	}
	pair, err := authority.Issue(id, now, life)
	if err != nil {
		return err
	}
	return WriteFolder(folder, pair, bundle, replace)
}

// Rotate creates a new authority, and a bundle that trusts both the new and the old one.
// Every process must have that bundle before any process uses a certificate of the new
// authority.
func (v Vault) Rotate(now time.Time) error {
	old, err := v.authority()
	if err != nil {
		return err
	}
	oldPair, err := old.KeyPair()
	if err != nil {
		return err
	}
	next, err := NewAuthority(now, DefaultAuthorityValidity)
	if err != nil {
		return err
	}
	pair, err := next.KeyPair()
	if err != nil {
		return err
	}
	previous := []keyFile{{previousFile, oldPair.Certificate, publicMode}}
	if err := writeFiles(v.Folder, false, previous); err != nil {
		return errors.Wrap(err, "the rotation before is not finished")
	}
	bundle := append(append([]byte(nil), pair.Certificate...), oldPair.Certificate...)
	return writeFiles(v.Folder, true, []keyFile{
		{AuthoritiesFile, bundle, publicMode},
		{authorityKeyFile, pair.Key, privateMode},
		{authorityFile, pair.Certificate, publicMode},
	})
}

// Finish ends a rotation. The bundle then trusts only the new authority.
func (v Vault) Finish() error {
	if _, err := os.Stat(v.path(previousFile)); errors.Is(err, fs.ErrNotExist) {
		return ErrKeys{Path: v.Folder, Cause: errors.New("no rotation is under way")}
	}
	certificate, err := readFile(v.path(authorityFile))
	if err != nil {
		return err
	}
	if err := writeFiles(v.Folder, true, []keyFile{{AuthoritiesFile, certificate, publicMode}}); err != nil {
		return err
	}
	if err := os.Remove(v.path(previousFile)); err != nil {
		return ErrKeys{Path: v.path(previousFile), Cause: err}
	}
	return nil
}

func (v Vault) path(name string) string { return filepath.Join(v.Folder, name) }

func (v Vault) authority() (*Authority, error) {
	pair, err := readPair(v.path(authorityFile), v.path(authorityKeyFile))
	if err != nil {
		return nil, err
	}
	authority, err := LoadAuthority(pair)
	if err != nil {
		return nil, ErrKeys{Path: v.Folder, Cause: err}
	}
	return authority, nil
}
