package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// otherWriterAt is when the other writer sends its heartbeats.
	otherWriterAt = 7 * time.Second
	// otherService is a service that the configuration doesn't name.
	otherService = "wuno96b"
	// otherWriterEnd is the end of the case.
	otherWriterEnd = 60 * time.Second
	// plainServers are the servers of the service.
	plainServers = 3
)

// otherWriter lets another writer send one heartbeat for each address at which a server of the service is ready. The heartbeats have an ID of
// their own and name a service that isn't in the configuration, so that they name no server to use. The rule is broken if no request is
// served, though the servers stay up and their own heartbeats are acknowledged.
func otherWriter(r *record, trouble bool) error {
	f, err := newFleet(r)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o := &operator{record: r, targets: f.controlAddresses}
	go o.run(ctx)
	servers := make([]*server, plainServers)
	for i := range servers {
		servers[i] = &server{record: r, id: fmt.Sprintf("i-7f3a91c%d", i), targets: f.controlAddresses}
		if err := servers[i].start(ctx, fmt.Sprintf("%s%d", f.subnet, 201+i)); err != nil {
			return err
		}
	}
	f.sleepUntil(otherWriterAt)
	if !o.acked.Load() {
		return fmt.Errorf("the first configuration isn't acknowledged after %v", otherWriterAt)
	}
	for i, s := range servers {
		if trouble {
			announceOther(r, f, fmt.Sprintf("x-%d", i), s.address)
		}
	}
	f.sleepUntil(trafficAt)
	c := &client{record: r, address: f.frontAddress()}
	go c.run(ctx)
	f.sleepUntil(otherWriterEnd)
	cancel()
	var ran int64
	for _, s := range servers {
		ran += s.ran.Load()
	}
	r.add("summary", "requests sent: %d, served: %d, run: %d", c.sent.Load(), c.served.Load(), ran)
	if c.served.Load() == 0 {
		return fmt.Errorf("%w: no request of %d was served", errBroken, c.sent.Load())
	}
	return nil
}

// announceOther sends the heartbeat of another writer for an address.
func announceOther(r *record, f *fleet, id, address string) {
	body := fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"zone-a","version":"v1","slots":6,"state":"ready","cold_ms":0,"sequence":1,"born":%d}`,
		otherService, address, time.Now().UnixMilli())
	for _, control := range f.controlAddresses() {
		a, err := callControl(http.MethodPut, control, "/instances/"+id, body)
		r.add("other writer", "PUT /instances/%s to %s, address %s, service %s: status %d %s", id, control, address, otherService, a.status, errorText(err))
		if a.status == http.StatusOK {
			return
		}
	}
}
