package server

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/config"
	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/link/message"
)

// TestFleetForms runs real sessions: agents announce themselves, a configuration
// is accepted and put in force, replicas form and entries see them.
func TestFleetForms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t)
		f.control("c1")
		agents := f.agents("fabric-1", "a1", "a2", "a3", "a4")
		entry := f.entry("e1")
		result := f.apply(string(config.DefaultYAML()), 0, "change-1")
		require.True(t, result.Accepted, "%+v", result)
		time.Sleep(5 * time.Second)
		for _, a := range agents {
			require.Equal(t, result.Revision, a.session.Revision())
			require.True(t, a.session.Valid())
		}
		view := entry.lastView()
		require.Len(t, view.Routes, 2)
		for _, r := range view.Routes {
			require.Equal(t, replica.StateServing, r.Replica.State)
			require.Len(t, r.Replica.Hosts, 2)
		}
		status := f.call(&message.StatusQuery{}).(*message.StatusResult)
		require.Equal(t, 2, status.Deployments[0].Serving)
		require.Len(t, status.Hosts, 5)
	})
}
