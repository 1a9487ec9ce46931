package cmd

import (
	"fmt"
	"io"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/identity"
)

type keysCommand struct {
	Init   keysInitCommand   `cmd:"" help:"Create the fleet's certificate authority in a new folder."`
	Issue  keysIssueCommand  `cmd:"" help:"Issue a certificate for one process or operator."`
	Rotate keysRotateCommand `cmd:"" help:"Replace the certificate authority while the fleet runs."`
}

type keysInitCommand struct {
	Folder string `arg:"" type:"path" help:"Folder for the authority and its private key. Keep it off the hosts of the fleet." predictor:"dir"`
}

// Help returns an example.
func (keysInitCommand) Help() string {
	return `Examples:
  egretreach keys init vault`
}

// Run creates the authority.
func (c keysInitCommand) Run(stdout io.Writer) error {
	if err := (identity.Vault{Folder: c.Folder}).Init(time.Now()); err != nil {
		return err
	}
	fmt.Fprintln(stdout, "created the authority in", c.Folder)
	return nil
}

type keysIssueCommand struct {
	Folder  string        `arg:"" type:"existingdir" help:"Folder of the authority." predictor:"dir"`
	Role    string        `arg:"" enum:"entry,control,agent,operator" help:"Role of the process: entry, control, agent or operator."`
	Host    string        `arg:"" help:"Host ID as in the settings of the process, or the name of the operator."`
	Out     string        `required:"" short:"o" type:"path" help:"Keys folder to write: certificate.pem, key.pem and authorities.pem." predictor:"dir"`
	Life    time.Duration `default:"8760h" help:"Time for which the certificate is valid. 8760h is one year."`
	Replace bool          `help:"Overwrite the files of an existing keys folder. A running process loads them without a restart."`
}

// Help returns examples.
func (keysIssueCommand) Help() string {
	return `Examples:
  egretreach keys issue vault agent host-3 --out host-3/keys
  egretreach keys issue vault operator amal --out ~/.egretreach --life 720h`
}

// Run issues the certificate.
func (c keysIssueCommand) Run(stdout io.Writer) error {
	id := identity.Identity{Role: host.Role(c.Role), Host: host.ID(c.Host)}
	vault := identity.Vault{Folder: c.Folder}
	if err := vault.Issue(id, c.Out, c.Replace, time.Now(), c.Life); err != nil {
		return err
	}
	fmt.Fprintf(stdout, "issued %s in %s\n", id, c.Out)
	return nil
}

type keysRotateCommand struct {
	Folder string `arg:"" type:"existingdir" help:"Folder of the authority." predictor:"dir"`
	Finish bool   `help:"Remove the previous authority from the bundle. Do so only when no process uses its certificates any more."`
}

// Help returns the steps of a rotation.
func (keysRotateCommand) Help() string {
	return `Processes load changed files without a restart, within keys.check_every or at
SIGHUP. Complete each step on every host before the next one; otherwise some processes
refuse the certificates of others:

  1. egretreach keys rotate vault
  2. copy vault/authorities.pem into every keys folder
  3. egretreach keys issue vault ROLE HOST --out FOLDER --replace, for each process
  4. egretreach keys rotate vault --finish
  5. copy vault/authorities.pem into every keys folder`
}

// Run starts or finishes a rotation.
func (c keysRotateCommand) Run(stdout io.Writer) error {
	vault := identity.Vault{Folder: c.Folder}
	if c.Finish {
		if err := vault.Finish(); err != nil {
			return err
		}
		fmt.Fprintln(stdout, "the bundle trusts the new authority only; copy authorities.pem into every keys folder")
		return nil
	}
	if err := vault.Rotate(time.Now()); err != nil {
		return err
	}
	fmt.Fprintln(stdout, "the bundle trusts both authorities; copy authorities.pem into every keys folder before issuing certificates")
	return nil
}
