package identity

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// Names of the files in a process's keys folder.
const (
	CertificateFile = "certificate.pem"
	KeyFile         = "key.pem"
	AuthoritiesFile = "authorities.pem"
)

const (
	privateMode fs.FileMode = 0o600
	publicMode  fs.FileMode = 0o644
	folderMode  fs.FileMode = 0o700
	// othersMode are the permission bits that the file of a private key must not have.
	othersMode fs.FileMode = 0o077
)

// ErrKeys is returned for a keys folder that cannot be used.
type ErrKeys struct {
	// Path is the folder or the file in it.
	Path  string
	Cause error
}

func (e ErrKeys) Error() string { return fmt.Sprintf("keys at %s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e ErrKeys) Unwrap() error { return e.Cause }

// IsErrKeys reports whether err is an ErrKeys.
func IsErrKeys(err error) bool {
	var e ErrKeys
	return errors.As(err, &e)
}

// Open reads the credentials in a process's keys folder. It returns ErrKeys if the
// certificate is not for the identity want.
func Open(folder string, want Identity) (*Credentials, error) {
	credentials := &Credentials{}
	if err := credentials.reload(folder); err != nil {
		return nil, err
	}
	if self := credentials.Self(); self != want {
		return nil, ErrKeys{Path: folder, Cause: errors.Errorf("the certificate is for %s, not for %s", self, want)}
	}
	return credentials, nil
}

// OpenForRole reads the credentials in a keys folder. It returns ErrKeys if the
// certificate is not for role. The host or operator may be any.
func OpenForRole(folder string, role host.Role) (*Credentials, error) {
	credentials := &Credentials{}
	if err := credentials.reload(folder); err != nil {
		return nil, err
	}
	if self := credentials.Self(); self.Role != role {
		return nil, ErrKeys{Path: folder, Cause: errors.Errorf("the certificate is for %s, not for role %s", self, role)}
	}
	return credentials, nil
}

func (c *Credentials) reload(folder string) error {
	pair, err := readPair(filepath.Join(folder, CertificateFile), filepath.Join(folder, KeyFile))
	if err != nil {
		return err
	}
	authorities, err := readFile(filepath.Join(folder, AuthoritiesFile))
	if err != nil {
		return err
	}
	if err := c.Replace(pair, authorities); err != nil {
		return ErrKeys{Path: folder, Cause: err}
	}
	return nil
}

func readPair(certificate, key string) (KeyPair, error) {
	info, err := os.Stat(key)
	if err != nil {
		return KeyPair{}, ErrKeys{Path: key, Cause: err}
	}
	if mode := info.Mode().Perm(); mode&othersMode != 0 {
		return KeyPair{}, ErrKeys{Path: key, Cause: errors.Errorf("mode %#o lets others read the private key; set it to %#o", mode, privateMode)}
	}
	keyPEM, err := readFile(key)
	if err != nil {
		return KeyPair{}, err
	}
	certificatePEM, err := readFile(certificate)
	if err != nil {
		return KeyPair{}, err
	}
	return KeyPair{Certificate: certificatePEM, Key: keyPEM}, nil
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrKeys{Path: path, Cause: err}
	}
	return data, nil
}

// WriteFolder writes a process's keys folder. Without replace it returns ErrKeys if one
// of the files exists.
func WriteFolder(folder string, pair KeyPair, authorities []byte, replace bool) error {
	return writeFiles(folder, replace, []keyFile{
		{AuthoritiesFile, authorities, publicMode},
		{KeyFile, pair.Key, privateMode},
		{CertificateFile, pair.Certificate, publicMode},
	})
}

type keyFile struct {
	name string
	data []byte
	mode fs.FileMode
}

func writeFiles(folder string, replace bool, files []keyFile) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return ErrKeys{Path: folder, Cause: err}
	}
	if !replace {
		if err := refuseExisting(folder, files); err != nil {
			return err
		}
	}
	for _, f := range files {
		path := filepath.Join(folder, f.name)
		if err := writeFile(path, f.data, f.mode); err != nil {
			return ErrKeys{Path: path, Cause: err}
		}
	}
	return nil
}

func refuseExisting(folder string, files []keyFile) error {
	for _, f := range files {
		path := filepath.Join(folder, f.name)
		if _, err := os.Lstat(path); !errors.Is(err, fs.ErrNotExist) {
			return ErrKeys{Path: path, Cause: errors.New("is there already and is not overwritten")}
		}
	}
	return nil
}

// writeFile replaces a file by writing, syncing and renaming a temporary one, so that a
// reader sees either the old file or the whole new one.
func writeFile(path string, data []byte, mode fs.FileMode) error {
	temp, err := os.CreateTemp(filepath.Dir(path), ".new-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(temp.Name()) }()
	_, err = temp.Write(data)
	for _, step := range []func() error{
		func() error { return temp.Chmod(mode) },
		temp.Sync,
		temp.Close,
	} {
		if stepErr := step(); err == nil {
			err = stepErr
		}
	}
	if err != nil {
		return err
	}
	return os.Rename(temp.Name(), path)
}

// NotAfter returns the end of the validity of the process's certificate.
func (c *Credentials) NotAfter() time.Time { return c.current.Load().notAfter }
