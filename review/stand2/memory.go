package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// coreMemoryMB is memory_mb of a core machine on the sheets.
	coreMemoryMB = 280
	// grownRoutes is the number of routes after a big_config of 1,928 routes and one of 1,440.
	grownRoutes = 3368
	usualRoutes = 20
	// changesADay is the users' number of changes of the configuration in a day.
	changesADay = 1100
	// mostEnds is how often a process may end by itself in a day, less one.
	mostEnds = 3
	// restartDelay is the time after which the platform starts a process that has ended again.
	restartDelay = time.Second
	// memoryCaseTime bounds the changes of a run.
	memoryCaseTime = 105 * time.Second
)

// anonymousMB returns the memory that a process has taken in MB, without its program file. It is 0 if the process has ended.
func anonymousMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) //nolint:gosec // A process that it has started.
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			if err != nil {
				return 0
			}
			return kb / 1024
		}
	}
	return 0
}

// routesDocument returns a configuration with a number of routes, written as on the pages.
func routesDocument(version, routes int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range routes {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"name":"r-%07d","host":"ficu95.example","path_prefix":"/lohu%05d/","kind":"safe","timeout_ms":%d,"target_latency_ms":300,`+
			`"priority":1,"service":"wuno96b","max_attempts":2,"allow_anonymous":false,"session_affinity":false,"resume_streams":false}`, i, i, 3000+version%500)
	}
	b.WriteString(`],"services":[{"name":"wuno96b","health_path":"/healthz","max_connections":52,"protocol":"h1","tls":false}],` +
		`"limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000},` +
		`"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}`)
	return []byte(b.String())
}

// limitMemory plays the platform for a portal until stop is set: it kills the process when it uses more memory than the machine has, and starts
// it again.
func (f *fleet) limitMemory(d *daemon, overLimit *atomic.Int64, stop *atomic.Bool) {
	for !stop.Load() {
		time.Sleep(20 * time.Millisecond)
		mb := anonymousMB(d.pid())
		if mb <= coreMemoryMB {
			continue
		}
		f.note("%s uses %d MB of %d MB: killed", d.name, mb, coreMemoryMB)
		overLimit.Add(1)
		d.signal(syscall.SIGKILL)
		for !d.hasEnded() {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(restartDelay)
		if stop.Load() || f.run(d) != nil {
			return
		}
	}
}

// memoryCase changes the configuration as often as the users do in a day, and watches the memory of the portals.
func memoryCase(f *fleet, trouble bool) int {
	f.portalSettings = fmt.Sprintf("memory:\n  process: %dMiB\n", coreMemoryMB)
	if f.startAll(1) != nil {
		return exitNotRun
	}
	routes := usualRoutes
	if trouble {
		routes = grownRoutes
	}
	f.note("each configuration has %d routes and %d bytes", routes, len(routesDocument(1, routes)))
	if !f.put(routesDocument(1, usualRoutes)) {
		f.note("the first configuration isn't acknowledged")
		return exitNotRun
	}
	var stop atomic.Bool
	ends := make([]atomic.Int64, len(f.portals))
	for i, d := range f.portals {
		go f.limitMemory(d, &ends[i], &stop)
	}
	defer stop.Store(true)
	for version, end := 2, time.Now().Add(memoryCaseTime); version <= changesADay && time.Now().Before(end); version++ {
		if !f.put(routesDocument(version, routes)) {
			f.note("version %d isn't acknowledged in 20 s", version)
			return exitNotRun
		}
		if version%25 == 0 {
			f.noteMemory(version)
		}
		if ended := machinesWithEnds(ends); 2*ended >= len(f.portals) {
			f.note("BROKEN: after %d changes %d of %d portals have ended by themselves %d times, with no disruption", version, ended, len(f.portals), mostEnds)
			return exitBroken
		}
	}
	f.note("held: no process has ended %d times by itself", mostEnds)
	return exitHeld
}

// machinesWithEnds returns how many machines have processes that ended mostEnds times.
func machinesWithEnds(ends []atomic.Int64) int {
	count := 0
	for i := range ends {
		if ends[i].Load() >= mostEnds {
			count++
		}
	}
	return count
}

// noteMemory records the memory of the portals.
func (f *fleet) noteMemory(version int) {
	var memory []string
	for _, d := range f.portals {
		memory = append(memory, strconv.Itoa(anonymousMB(d.pid())))
	}
	var others []string
	for _, d := range f.gateways {
		others = append(others, strconv.Itoa(anonymousMB(d.pid())))
	}
	f.note("%d: the portals use %s MB, the gateways %s MB", version, strings.Join(memory, ", "), strings.Join(others, ", "))
}
