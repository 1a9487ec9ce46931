package identity

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/phuslu/log"

	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// Watcher takes changed files of a keys folder into use without a restart. Open
// links stay; new ones use the new certificate.
type Watcher struct {
	Credentials *Credentials
	Folder      string
	// Interval is how often the files' modification times are looked at.
	Interval time.Duration
	// Reload asks for a look at once; daemons send SIGHUP to it. It may be nil.
	Reload <-chan os.Signal
	Logger *log.Logger
}

// Run watches until ctx ends. Files that cannot be used are reported, the old
// credentials stay in use, and the next look tries again.
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

// fileStamp tells one content of a file from the next.
type fileStamp struct {
	modified time.Time
	bytes    int64
}

// fileStamps looks at the three files of the folder; a missing one has a zero fileStamps.
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
