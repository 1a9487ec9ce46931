//go:build callers

package callers

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/roster"
	"github.com/egretreach/egretreach/platform"
	"github.com/egretreach/egretreach/platform/standin"
)

const (
	// hostMemory is the memory of the host of each process.
	hostMemory      = 136 << 20
	faultyEndpoints = 63
	// faultyCallers are the callers of the faulty endpoints, of which every third reads nothing.
	faultyCallers = 400
	soundCallers  = 8
	endlessTime   = 12 * time.Second
	// minServed of 100 requests to sound endpoints must be served.
	minServed = 99
	// minSoundRequests is the number of requests below which the test has shown nothing.
	minSoundRequests = 200
	// sendInterval is the pause between two writes of a faulty endpoint, of about sendBytes each.
	sendInterval = time.Millisecond
	sendBytes    = 16 << 10
	// endpointsOfAKind is the number of endpoints of each kind but the last, which has the rest.
	endpointsOfAKind = 4
	// slowFields is the kind that sends most of a head at once and then little, at each trickleInterval.
	slowFields       = "slow fields"
	slowFieldsBytes  = 28 << 10
	trickleInterval  = 100 * time.Millisecond
	announceInterval = time.Second
)

// The service and the routes of the faulty endpoints.
const (
	faultyService = "faulty"
	faultyPlain   = "/faulty/"
	faultyStream  = "/faulty-stream/"
)

// faultyKind is what a faulty endpoint sends: a beginning, and then a text again and again until the connection is closed.
type faultyKind struct {
	name, beginning, text string
}

// faultyKinds returns the kinds of an endpoint that signs with id.
func faultyKinds(id, request string) []faultyKind {
	names := platform.Dialect().Headers
	const ok = "HTTP/1.1 200 OK\r\n"
	signed := fmt.Sprintf("%s%s: %s\r\n%s: %s\r\n", ok, names.Signature, id, names.RequestID, request)
	long := strings.Repeat("x", sendBytes)
	return []faultyKind{
		{"status line", "HTTP/1.1 200 ", long},
		{"fields", signed, strings.Repeat("X-Field: v\r\n", sendBytes/12)},
		{"1xx", "", strings.Repeat("HTTP/1.1 103 Early Hints\r\nX-Field: v\r\n\r\n", sendBytes/40)},
		{"plain body", signed + "Content-Length: 1000000000000\r\n\r\n", long},
		{"events", signed + "Content-Type: text/event-stream\r\n\r\n", "id: 1\ndata: " + long + "\n\n"},
		{"one event", signed + "Content-Type: text/event-stream\r\n\r\ndata: ", long},
		{"after a whole answer", signed + "Content-Length: 2\r\n\r\nok", long},
		{slowFields, signed + shortLines(slowFieldsBytes), "x:\n"},
	}
}

// usedKinds counts the requests to the faulty endpoints by their kind. The zero value is ready to use.
type usedKinds struct {
	mu    sync.Mutex
	count map[string]int
}

func (u *usedKinds) add(kind string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.count == nil {
		u.count = map[string]int{}
	}
	u.count[kind]++
}

// counts returns the requests by kind.
func (u *usedKinds) counts() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.count)
}

// startFaulty starts the faulty endpoint with a number and announces it until ctx ends. It counts its requests in used.
func startFaulty(ctx context.Context, t *testing.T, number int, portals []string, used *usedKinds) {
	listener, err := net.Listen("tcp", loopback+":0")
	require.NoError(t, err)
	id := fmt.Sprint("faulty-", number)
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go sendWithoutEnd(ctx, c, id, number, used)
		}
	}()
	go announceFaulty(ctx, roster.Endpoint{
		ID: id, Service: faultyService, Address: listener.Addr().String(), FailureDomain: "a", Slots: 32, StartedMs: time.Now().UnixMilli(),
	}, portals)
}

// sendWithoutEnd answers a request with bytes without end, until the caller closes the connection or ctx ends.
func sendWithoutEnd(ctx context.Context, c net.Conn, id string, number int, used *usedKinds) {
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	kinds := faultyKinds(id, request.Header.Get(platform.Dialect().Headers.RequestID))
	kind := kinds[min(number/endpointsOfAKind, len(kinds)-1)]
	used.add(kind.name)
	_, err = io.WriteString(c, kind.beginning)
	interval := sendInterval
	if kind.name == slowFields {
		interval = trickleInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ; err == nil; <-ticker.C {
		_, err = io.WriteString(c, kind.text)
	}
}

func announceFaulty(ctx context.Context, e roster.Endpoint, portals []string) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, portal := range portals {
			e.Sequence++
			if (platform.Client{Address: portal}).Announce(ctx, e) == nil {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// putFaultyRoutes adds the service of the faulty endpoints and its routes to the configuration.
func putFaultyRoutes(t *testing.T, portals []string) {
	route := func(name, prefix, kind string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":%q,"kind":%q,"timeout_ms":8000,"target_latency_ms":300,"priority":1,`+
			`"service":%q,"max_attempts":3,"resume_streams":true,"gap_aim_ms":300},`, name, standin.RouteHost, prefix, kind, faultyService)
	}
	document := string(standin.ConfigDocument(2))
	document = strings.Replace(document, `"routes":[`, `"routes":[`+route("r-faulty", faultyPlain, "safe")+route("r-faulty-stream", faultyStream, "stream"), 1)
	document = strings.Replace(document, `"services":[`, fmt.Sprintf(`"services":[{"name":%q,"health_path":"/healthz","max_connections":200},`, faultyService), 1)
	waitFor(t, "the routes are acknowledged", func() bool {
		for _, portal := range portals {
			if (platform.Client{Address: portal}).PutTable(t.Context(), []byte(document)) == nil {
				return true
			}
		}
		return false
	})
}

// callFaulty makes one call of a faulty endpoint. A slow caller reads nothing.
func callFaulty(ctx context.Context, to target, slow bool) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", to.address)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	if _, err := io.WriteString(c, to.ordinary()); err != nil {
		return
	}
	if slow {
		<-ctx.Done()
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second)) // A failure shows in the read.
	_, _ = io.Copy(io.Discard, c)
}

// TestEndlessBytesOfManyEndpointsEndNoProcess guards against faulty endpoints that together take the memory of a gateway or portal, so that it
// ends with the requests of all others.
func TestEndlessBytesOfManyEndpointsEndNoProcess(t *testing.T) {
	memory := fmt.Sprintf("memory: {process: %dMiB}\n", hostMemory>>20)
	s := startSystemOf(t, memory, memory)
	putFaultyRoutes(t, s.portalAPIs)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var used usedKinds
	for i := range faultyEndpoints {
		startFaulty(ctx, t, i, s.portalAPIs, &used)
	}
	faulty := []target{s.gatewayTarget(), s.gatewayTarget()}
	faulty[0].path, faulty[1].path = faultyPlain+"x", faultyStream+"x"
	waitFor(t, "a faulty endpoint is called", func() bool {
		once, end := context.WithTimeout(ctx, time.Second)
		defer end()
		callFaulty(once, faulty[0], false)
		return len(used.counts()) > 0
	})
	var sound, served atomic.Int64
	var all sync.WaitGroup
	during, end := context.WithTimeout(ctx, endlessTime)
	defer end()
	for i := range faultyCallers {
		all.Go(func() {
			for during.Err() == nil {
				callFaulty(during, faulty[i%2], i%3 == 0)
			}
		})
	}
	for range soundCallers {
		all.Go(func() {
			for during.Err() == nil {
				sound.Add(1)
				if isAnswered(t, s.gatewayTarget()) {
					served.Add(1)
				}
			}
		})
	}
	all.Wait()
	for _, p := range append([]*process{s.gateway}, s.portals...) {
		require.True(t, p.lives(), "the process has exited")
		peak := p.peakMemory(t)
		t.Logf("%s: peak %d MB", p.command.Args[1], peak>>20)
		if peak >= hostMemory {
			t.Errorf("peak memory is %d bytes, the host has %d", peak, hostMemory)
		}
	}
	t.Logf("%d of %d sound requests were served; requests to faulty ones: %v", served.Load(), sound.Load(), used.counts())
	require.GreaterOrEqual(t, sound.Load(), int64(minSoundRequests))
	require.GreaterOrEqual(t, served.Load()*100, sound.Load()*minServed)
	require.Len(t, used.counts(), len(faultyKinds("", "")), "each kind was called")
}
