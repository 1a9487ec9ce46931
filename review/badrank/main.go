// Command badrank shows what a heartbeat of another writer with a negative rank does to the portals: the leader
// ends by itself, and so does each that leads after it.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/egretreach/egretreach/review/rig"
)

func document(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-fi6y7z5","host":"wuny96.example","path_prefix":"/pufi791/","kind":"stream","timeout_ms":6000,`+
		`"target_latency_ms":300,"priority":1,"service":"dele69a","max_attempts":2,"allow_anonymous":false,"session_affinity":true,"resume_streams":true,"gap_aim_ms":200}],`+
		`"services":[{"name":"dele69a","health_path":"/healthz","max_connections":502,"protocol":"h1","tls":false,"engine":{"slots":48,"kv_tokens":2470000,`+
		`"token_kv_bytes":35136,"link_mbps":400000.0,"stride":5,"models":[{"name":"daka510000","size":6,"share":0.67,"pace":1.0,"load_s":16.0,"warm_s":1.6},`+
		`{"name":"rada7437b5","size":3,"share":0.33,"pace":0.6,"load_s":12.0,"warm_s":1.1}],"step_ms":6.45,"per_seq_ms":0.0967,"context_per_k":0.00293,`+
		`"read_per_s":56100.0,"pairs_per_m":0.309,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":3.0,"loads_at_once":6,"delays":[],`+
		`"usual":{"prompt":1042,"answer":131},"retention_count":1,"far_x":4.0,"form_ms":300.0}}],`+
		`"limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000},"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}`, version)
}

func test(r *rig.Rig) (bool, error) {
	if err := r.PutFirst(3, document(3)); err != nil {
		return false, err
	}
	r.Record.Sayf("version 3 is acknowledged, the gateway is ready")
	time.Sleep(2 * time.Second)
	if r.Trouble {
		go foreignWriter(r)
	}
	often := 0
	for begun := time.Now(); time.Since(begun) < length && often < len(r.Portals); time.Sleep(time.Second) {
		often = 0
		for _, p := range r.Portals {
			if p.OwnEnds() >= maxOwnEnds {
				often++
			}
		}
	}
	for _, p := range r.Portals {
		r.Record.Sayf("%s ended by itself %d times", p.Name, p.OwnEnds())
	}
	return 2*often < len(r.Portals), nil
}

const (
	length = 45 * time.Second
	// maxOwnEnds is how often a process ends by itself, on half of the core, when the rule is broken.
	maxOwnEnds = 3
)

func foreignWriter(r *rig.Rig) {
	born := time.Now().UnixMilli()
	for n := 0; r.Context.Err() == nil; n++ {
		p := r.Portals[n%len(r.Portals)]
		body := fmt.Sprintf(`{"service":"dele69a","address":"127.0.0.1:9","zone":"a","version":"v1","slots":48,"state":"ready","cold_ms":0,"stage":"unified",`+
			`"models":[{"name":"daka510000","version":1,"adapters":[]}],"domain":"d1","staged":["daka510000"],`+
			`"group":{"name":"daka510000.2.1","epoch":2097153,"rank":-1,"state":"ready"},"born":%d,"sequence":%d}`, born, n+1)
		status := r.Beat(http.MethodPut, p, "/instances/i-7f3a91c2", body)
		r.Record.Logf("foreign writer: PUT /instances/i-7f3a91c2 at %s: %d", p.Name, status)
		time.Sleep(rig.HeartbeatInterval)
	}
}

func main() { os.Exit(rig.Main(3, 1, test)) }
