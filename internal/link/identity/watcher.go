package identity

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/phuslu/log"

	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// Watcher reloads the credentials when the files of a keys folder change. Open links
// stay open, and new ones use the new certificate.
type Watcher struct {
	Credentials *Credentials
	Folder      string
	// Interval is the interval between checks of the files' modification times and sizes.
	Interval time.Duration
	// Reload requests a reload at once, even if no file has changed. Daemons send SIGHUP
	// to it. It may be nil.
	Reload <-chan os.Signal
	Logger *log.Logger
}

// Run watches until ctx ends. If the files cannot be used, it logs the reason, keeps the
// old credentials and tries again at the next check.
func (w Watcher) Run(ctx context.Context) {
	inUse := w.fileStamps()
	ticker := time.NewTicker(w.Interval)
	defer ticker.Stop()
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-w.Reload:
			requested = true
		}
		now := w.fileStamps()
		if now == inUse && !requested {
			continue
		}
		if w.reload() {
			inUse = now
		}
	}
}

func (w Watcher) reload() bool {
	if err := w.Credentials.reload(w.Folder); err != nil {
		event.KeysRefused.On(w.Logger).Str("reason", err.Error()).Msg("")
		return false
	}
	event.KeysReloaded.On(w.Logger).Time("not_after", w.Credentials.NotAfter()).Msg("")
	return true
}

// fileStamp is compared to detect a change of a file.
type fileStamp struct {
	modified time.Time
	bytes    int64
}

// fileStamps returns the stamps of the three files of the folder. That of a missing file
// is zero.
func (w Watcher) fileStamps() [3]fileStamp {
	var stamps [3]fileStamp
	for i, name := range []string{CertificateFile, KeyFile, AuthoritiesFile} {
		info, err := os.Stat(filepath.Join(w.Folder, name))
		if err == nil {
			stamps[i] = fileStamp{modified: info.ModTime(), bytes: info.Size()}
		}
	}
	return stamps
}
