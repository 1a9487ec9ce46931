package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// oddModelBytes is the length of the odd X-Model line. The whole header stays under header_bytes, 16,384.
	oddModelBytes = 15000
	// crowdConnections is the number of connections of odd clients to each gateway, and crowdPause the time between two requests on one.
	crowdConnections = 20
	crowdPause       = 20 * time.Millisecond
)

// engineDocument returns a configuration with a route to a service of model servers, written as on the pages.
func engineDocument(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r-2yhvz3p","host":"ficu95.example","path_prefix":"/lohu930/","kind":"stream",`+
		`"timeout_ms":8000,"target_latency_ms":400,"priority":1,"service":"huvo11a","max_attempts":2,"allow_anonymous":false,`+
		`"session_affinity":true,"resume_streams":true,"gap_aim_ms":300},%s],"services":[%s,%s],%s}`,
		version, plainRoute, engineService, plainService, limitsAndTenants)
}

const (
	plainRoute = `{"name":"r-fi6y7z5","host":"ficu95.example","path_prefix":"/pufi791/","kind":"safe","timeout_ms":3000,"target_latency_ms":300,` +
		`"priority":1,"service":"wuno96b","max_attempts":2,"allow_anonymous":false,"session_affinity":false,"resume_streams":false}`
	plainService  = `{"name":"wuno96b","health_path":"/healthz","max_connections":200,"protocol":"h1","tls":false}`
	engineService = `{"name":"huvo11a","health_path":"/healthz","max_connections":412,"protocol":"h1","tls":false,"engine":{"slots":48,` +
		`"kv_tokens":2470000,"token_kv_bytes":35136,"link_mbps":400000.0,"stride":5,"models":[{"name":"daka510000","size":3,"share":1.0,` +
		`"pace":1.0,"load_s":12.0,"warm_s":1.1}],"step_ms":6.45,"per_seq_ms":0.0967,"context_per_k":0.00293,"read_per_s":56100.0,` +
		`"pairs_per_m":0.309,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":3.0,"loads_at_once":6,"delays":[],` +
		`"usual":{"prompt":1042,"answer":131},"retention_count":1,"far_x":4.0,"form_ms":300.0}}`
	limitsAndTenants = `"limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000},` +
		`"tenants":[{"name":"hule930","api_keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]`
)

// oddClient sends requests on one connection until ctx ends, each for another model that isn't there, or all for the same.
func oddClient(ctx context.Context, address string, name int, trouble bool, answered *sync.Map) {
	dialer := net.Dialer{Timeout: time.Second}
	for n := 0; ctx.Err() == nil; {
		c, err := dialer.DialContext(ctx, "tcp4", address)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for reader := bufio.NewReader(c); ctx.Err() == nil; n++ {
			model := "daka510000"
			if trouble {
				model = fmt.Sprintf("m-%d-%d-", name, n)
				model += strings.Repeat("x", oddModelBytes-len(model))
			}
			_ = c.SetDeadline(time.Now().Add(3 * time.Second))
			_, err = fmt.Fprintf(c, "GET /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %d-%d\r\nX-Model: %s\r\nX-Token-Usage: 1460,80\r\n"+
				"X-Deadline-Ms: 2000\r\nX-Key: n2ctnfzs989anu6wsjnb\r\n\r\n", name, n, model)
			if err != nil {
				break
			}
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			_, err = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			count, _ := answered.LoadOrStore(response.StatusCode, new(atomic.Int64))
			count.(*atomic.Int64).Add(1)
			if err != nil || response.Close {
				break
			}
			time.Sleep(crowdPause)
		}
		_ = c.Close()
	}
}

// noteAnswers records the statuses that clients have got.
func (f *fleet) noteAnswers(answered *sync.Map) {
	answered.Range(func(status, count any) bool {
		f.note("clients have got status %v %d times", status, count.(*atomic.Int64).Load())
		return true
	})
}
