//go:build callers

package callers

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/platform"
	"github.com/egretreach/egretreach/platform/standin"
)

// The crowd is a third of the plan's, with a third of the memory that the plan leaves above that of a process without load.
const (
	crowdSize = 200
	// mixedSize is the number of callers of all kinds together.
	mixedSize = 330
	crowdTime = 3 * time.Second

	gatewayMemory = 56 << 20
	portalMemory  = 80 << 20
	entryMemory   = 92 << 20

	// maxDescriptors is below the size of the crowd.
	maxDescriptors = 192
)

const (
	loopback    = "127.0.0.1"
	portalCount = 3
)

// observer counts the requests that an endpoint has begun to run.
type observer struct{ started atomic.Int64 }

func (*observer) RequestArrived(string, string)            {}
func (*observer) RequestRefused(string, string, time.Time) {}
func (o *observer) RequestStarted(string, string)          { o.started.Add(1) }
func (*observer) RequestFinished(string)                   {}

// system is a gateway with portals and one endpoint.
type system struct {
	portals []*process
	gateway *process
	// endpoint serves the requests of all routes.
	endpoint *standin.Endpoint
	observed observer
	// addresses are those of the first portal, the gateway and the gateway's health pages.
	portalAPI, gatewayAPI, health string
	// portalAPIs are the addresses of all portals.
	portalAPIs []string
}

// The settings that bound what callers may take: half of the default memory, and a part of the crowd, since the connections to endpoints
// count towards the bound of descriptors too.
const (
	callerMemory      = 10 << 20
	callerConnections = 64
	// processMemory is below the bounds by the pages of the binary, which the Go runtime doesn't count.
	processMemory = 44 << 20
)

// callerSettings returns these settings, with a body_memory beside the rest if role is that of a gateway.
func callerSettings(role string) string {
	common := fmt.Sprintf("caller_connections: %d\nmemory: {process: %dMiB, callers: ", callerConnections, processMemory>>20)
	if role != "gateway" {
		return common + fmt.Sprintf("%dMiB}\n", 2*callerMemory>>20)
	}
	return common + fmt.Sprintf("%dMiB}\nbody_memory: 4MiB\n", callerMemory>>20+4)
}

// startSystem starts a system that has served one request.
func startSystem(t *testing.T) *system { return startSystemWith(t, callerSettings("gateway")) }

// startSystemWith starts a system whose gateway has the given settings beside those that it needs, and which has served one request.
func startSystemWith(t *testing.T, gatewaySettings string) *system {
	return startSystemOf(t, gatewaySettings, callerSettings("portal"))
}

// startSystemOf starts a system whose processes have the given settings beside those that they need, and which has served one request.
func startSystemOf(t *testing.T, gatewaySettings, portalSettings string) *system {
	ips := []string{loopback}
	for i := range portalCount {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", 2+i))
	}
	link, api, health := freePort(t, ips...), freePort(t, ips...), freePort(t, ips...)
	var seeds []string
	for _, ip := range ips[1:] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, api))
	}
	folder := t.TempDir()
	start := func(role, name, ip, more string) *process {
		settings := fmt.Sprintf("host: {id: %s, failure_domain: a}\nlink: {address: \"%s:%d\", private_network: true}\napi: \"%s:%d\"\n"+
			"health: {address: \"%s:%d\"}\nseeds: [\"%s\"]\n%s", name, ip, link, ip, api, ip, health, strings.Join(seeds, `", "`), more)
		path := filepath.Join(folder, name+".yaml")
		require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
		return startProcess(t, role, "--config", path)
	}
	s := &system{portalAPIs: seeds, portalAPI: seeds[0], gatewayAPI: fmt.Sprintf("%s:%d", loopback, api), health: fmt.Sprintf("%s:%d", loopback, health)}
	for i, ip := range ips[1:] {
		name := fmt.Sprint("portal-", i+1)
		s.portals = append(s.portals, start("portal", name, ip, fmt.Sprintf("first_start: true\ndata_folder: %s\n%s", filepath.Join(folder, name+"-data"), portalSettings)))
	}
	s.gateway = start("gateway", "gateway-1", loopback, gatewaySettings)
	listener, err := net.Listen("tcp", loopback+":0")
	require.NoError(t, err)
	s.endpoint = standin.NewEndpoint("e1", standin.ServiceName, listener, &s.observed)
	t.Cleanup(s.endpoint.Crash)
	go s.endpoint.Announce(t.Context(), listener.Addr().String(), "a", seeds)
	waitFor(t, "a configuration is acknowledged", func() bool { return standin.PutVersion(t.Context(), seeds[0], 1) == nil })
	waitFor(t, "the gateway serves", func() bool { return isAnswered(t, s.gatewayTarget()) })
	return s
}

func (s *system) gatewayTarget() target {
	names := platform.Dialect().Headers
	return target{
		address: s.gatewayAPI, method: http.MethodGet, path: "/safe/x",
		header: fmt.Sprintf("Host: %s\r\n%s: r1\r\n%s: %s\r\n%s: %s\r\n", standin.RouteHost, names.RequestID, names.APIKey, standin.TeamKey,
			names.Deadline, platform.Dialect().FormatDeadline(standin.PlainTimeout)),
	}
}

func (s *system) portalTarget() target {
	return target{address: s.portalAPI, method: http.MethodGet, path: "/config", header: "Host: portal\r\n"}
}

func (s *system) healthTarget() target {
	return target{address: s.health, method: http.MethodGet, path: "/metrics", header: "Host: health\r\n"}
}

// isAnswered reports whether the ordinary request gets 200, or a redirect to the leader.
func isAnswered(t *testing.T, to target) bool {
	c, err := net.DialTimeout("tcp", to.address, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	if _, err := c.Write([]byte(to.ordinary())); err != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK || response.StatusCode == http.StatusTemporaryRedirect
}

// checkCrowds sends each kind of load and all mixed to a target of a fresh process.
func checkCrowds(t *testing.T, memory int, start func(t *testing.T) (*process, target)) {
	check := func(name string, size int, kinds ...kind) {
		t.Run(name, func(t *testing.T) {
			p, to := start(t)
			before := p.peakMemory(t)
			ctx, cancel := context.WithCancel(t.Context())
			watched := make(chan struct{})
			go func() {
				defer close(watched)
				p.watchDescriptors(ctx)
			}()
			runCrowd(ctx, to, size, crowdTime, kinds...)
			cancel()
			<-watched
			require.True(t, p.lives(), "the process has exited")
			peak := p.peakMemory(t)
			t.Logf("peak %d MB (%d MB before the crowd), %d descriptors", peak>>20, before>>20, p.maxDescriptors)
			waitFor(t, "an ordinary request is answered", func() bool { return isAnswered(t, to) })
			if peak > memory {
				t.Errorf("peak memory is %d bytes, allowed %d", peak, memory)
			}
			if p.maxDescriptors > maxDescriptors {
				t.Errorf("%d descriptors were open, allowed %d", p.maxDescriptors, maxDescriptors)
			}
		})
	}
	for _, k := range kinds {
		check(k.name, crowdSize, k)
	}
	check("mixed", mixedSize, kinds...)
}

// TestGatewaySurvivesHostileCallers guards against a gateway whose memory or descriptors callers exhaust.
func TestGatewaySurvivesHostileCallers(t *testing.T) {
	checkCrowds(t, gatewayMemory, func(t *testing.T) (*process, target) {
		s := startSystem(t)
		return s.gateway, s.gatewayTarget()
	})
}

// TestPortalSurvivesHostileCallers guards against a portal whose memory or descriptors callers exhaust.
func TestPortalSurvivesHostileCallers(t *testing.T) {
	checkCrowds(t, portalMemory, func(t *testing.T) (*process, target) {
		s := startSystem(t)
		return s.portals[0], s.portalTarget()
	})
}

// TestHealthPagesSurviveHostileCallers guards against a gateway whose memory or descriptors callers of its health pages exhaust.
func TestHealthPagesSurviveHostileCallers(t *testing.T) {
	checkCrowds(t, gatewayMemory, func(t *testing.T) (*process, target) {
		s := startSystem(t)
		return s.gateway, s.healthTarget()
	})
}

// TestEntrySurvivesHostileCallers guards against an entry whose memory or descriptors callers exhaust.
func TestEntrySurvivesHostileCallers(t *testing.T) {
	checkCrowds(t, entryMemory, startNative)
}

var servesAt = regexp.MustCompile(`serves callers at http://(\S+)`)

// startNative starts a fleet with stand-in engines in one process.
func startNative(t *testing.T) (*process, target) {
	p := startProcess(t, "dev", "--listen", loopback+":0", fmt.Sprint("--caller-memory=", callerMemory), fmt.Sprint("--caller-connections=", callerConnections))
	var to target
	waitFor(t, "the fleet serves", func() bool {
		match := servesAt.FindStringSubmatch(p.out.String())
		if match == nil {
			return false
		}
		to = target{
			address: match[1], method: http.MethodPost, path: "/v1/chat/completions",
			header: "Host: dev\r\nAuthorization: Bearer dev-token-cascadia\r\n",
			body:   `{"model":"drafter","messages":[{"role":"user","content":"hi"}],"max_tokens":2}`,
		}
		return true
	})
	waitFor(t, "the entry answers", func() bool { return isAnswered(t, to) })
	return p, to
}
