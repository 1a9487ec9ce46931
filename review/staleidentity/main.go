// Command staleidentity shows that a portal that acts for a replaced one can be unable to speak to another portal for good:
// the next lost disk, which is to be borne, then ends the quorum, and an acknowledged configuration is lost.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/egretreach/egretreach/review/rig"
)

const (
	replaceDelay = 2 * time.Second
	restartDelay = 500 * time.Millisecond
	// thawDelay is how long after the start of the portal that has lost its disk the other one goes on.
	thawDelay = time.Second
	joinTime  = 15 * time.Second
	calmTime  = 8 * time.Second
)

func document(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-read","host":"wuny96.example","path_prefix":"/read/","kind":"safe","timeout_ms":1500,`+
		`"target_latency_ms":300,"priority":2,"service":"records","max_attempts":2,"allow_anonymous":true}],`+
		`"services":[{"name":"records","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false}],`+
		`"limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000}}`, version)
}

func test(r *rig.Rig) (bool, error) {
	if err := r.PutFirst(3, document(3)); err != nil {
		return false, err
	}
	r.Record.Sayf("version 3 is acknowledged")
	gone, frozen, last := r.Portals[0], r.Portals[1], r.Portals[2]
	if r.Trouble {
		newcomer, err := replace(r, gone)
		if err != nil {
			return false, err
		}
		time.Sleep(calmTime)
		if err := loseDiskBesideFreeze(r, newcomer, frozen); err != nil {
			return false, err
		}
		time.Sleep(rig.RecoverBound)
	}
	if !r.PutUntil(7, document(7), 5*time.Second) {
		return false, errors.New("version 7 is not acknowledged although all machines have been back for a while")
	}
	r.Record.Sayf("version 7 is acknowledged")
	if r.Trouble {
		last.Stop(syscall.SIGKILL, time.Second)
		if err := r.LoseDisk(last); err != nil {
			return false, err
		}
		r.Record.Sayf("%s has lost its disk right after that, and starts again", last.Name)
		time.Sleep(restartDelay)
		if err := last.Start(); err != nil {
			return false, err
		}
	}
	return readBack(r), nil
}

// replace removes a portal for good and starts another one on a new machine.
func replace(r *rig.Rig, gone *rig.Process) (*rig.Process, error) {
	gone.Stop(syscall.SIGKILL, time.Second)
	r.Record.Sayf("%s is gone for good", gone.Name)
	time.Sleep(replaceDelay)
	newcomer, err := r.AddPortal()
	if err != nil {
		return nil, err
	}
	if err := newcomer.Start(); err != nil {
		return nil, err
	}
	for begun := time.Now(); newcomer.Logged("quorum_admitted") == 0; time.Sleep(restartDelay) {
		if time.Since(begun) > joinTime {
			return nil, errors.New("the newcomer was not admitted")
		}
	}
	r.Record.Sayf("%s has its vote, %.1f s after that", newcomer.Name, time.Since(newcomer.Started()).Seconds())
	return newcomer, nil
}

// loseDiskBesideFreeze lets a portal lose its disk while another one stands still.
func loseDiskBesideFreeze(r *rig.Rig, newcomer, frozen *rig.Process) error {
	frozen.Signal(syscall.SIGSTOP)
	newcomer.Stop(syscall.SIGKILL, time.Second)
	if err := r.LoseDisk(newcomer); err != nil {
		return err
	}
	r.Record.Sayf("%s has lost its disk, %s stands still", newcomer.Name, frozen.Name)
	time.Sleep(restartDelay)
	if err := newcomer.Start(); err != nil {
		return err
	}
	time.Sleep(thawDelay)
	frozen.Signal(syscall.SIGCONT)
	r.Record.Sayf("both are back")
	return nil
}

// readBack reports whether the acknowledged configuration can be read within the time for a recovery.
func readBack(r *rig.Rig) bool {
	for begun := time.Now(); time.Since(begun) < rig.RecoverBound+2*calmTime; time.Sleep(restartDelay) {
		for _, p := range r.Portals {
			if p.PID() == 0 {
				continue
			}
			status, body := r.Read(p)
			r.Record.Logf("operator: GET at %s: %d", p.Name, status)
			if status == http.StatusOK {
				r.Record.Sayf("read at %s %.1f s later, version 7: %t", p.Name, time.Since(begun).Seconds(), strings.Contains(body, `"version":7`))
				return strings.Contains(body, `"version":7`)
			}
		}
	}
	r.Record.Sayf("no portal gives the configuration, %.0f s after all are back", (rig.RecoverBound + 2*calmTime).Seconds())
	return false
}

func main() { os.Exit(rig.Main(3, 1, test)) }
