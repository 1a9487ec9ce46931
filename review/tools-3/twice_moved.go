package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// settleTime is how long the core is left alone after a disruption: twice catch_up_s.
	settleTime = 8 * time.Second
	// stormChanges changes are sent one after the other, each with stormRoutes routes: about 10 MB in all.
	stormChanges = 60
	stormRoutes  = 600
	// downTime is how long the machines of the final fault are down, and recoverTime the bound recover_s.
	downTime    = 1300 * time.Millisecond
	recoverTime = 12 * time.Second
	// readTime is for how long the operator reads back at the end of the day.
	readTime = 15 * time.Second
	// maxStops bounds the planned stops until a machine leads.
	maxStops = 4
)

// twiceMoved replaces a machine of the core and later its successor, with many changes in between. Then another machine loses its disk, and
// at the end two more do, never more at once than the deployment tolerates. The rule is broken if the acknowledged configuration doesn't come
// when it is read back.
func twiceMoved(r *record, trouble bool) error {
	f, err := newFleet(r)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return err
	}
	o := &operator{record: r, targets: f.controlAddresses}
	if _, err := o.put(smallTable); err != nil {
		return err
	}
	if !trouble {
		return twiceMovedControl(o)
	}
	if err := replaceTwice(f, o); err != nil {
		return err
	}
	if err := f.wipe(f.cores[2]); err != nil {
		return err
	}
	time.Sleep(settleTime + settleTime/2)
	if _, err := o.put(smallTable); err != nil {
		return err
	}
	if err := finalFault(f); err != nil {
		return err
	}
	time.Sleep(recoverTime)
	return o.readBack()
}

// twiceMovedControl sends the same changes with the same waits while no machine is lost.
func twiceMovedControl(o *operator) error {
	for round := range 2 {
		time.Sleep(settleTime + settleTime/2)
		if _, err := o.put(smallTable); err != nil {
			return err
		}
		if round > 0 {
			break
		}
		if err := o.storm(); err != nil {
			return err
		}
	}
	time.Sleep(settleTime + settleTime/2)
	if _, err := o.put(smallTable); err != nil {
		return err
	}
	time.Sleep(downTime + recoverTime)
	return o.readBack()
}

// replaceTwice replaces the first machine of the core and then its successor. Each successor leads after planned stops of others.
func replaceTwice(f *fleet, o *operator) error {
	for round := range 2 {
		if err := f.replaceFirst(); err != nil {
			return err
		}
		time.Sleep(settleTime)
		if err := makeFirstLead(f, o); err != nil {
			return err
		}
		if round > 0 {
			break
		}
		if err := o.storm(); err != nil {
			return err
		}
	}
	return nil
}

// makeFirstLead stops and starts the leader until the first machine leads.
func makeFirstLead(f *fleet, o *operator) error {
	for range maxStops {
		leader, err := o.put(smallTable)
		if err != nil {
			return err
		}
		if leader == f.controlAddress(f.cores[0]) {
			f.record.add("platform", "%s acknowledges changes now", f.cores[0].name)
			return nil
		}
		for _, m := range f.cores {
			if f.controlAddress(m) != leader {
				continue
			}
			if err := f.stopAndStart(m); err != nil {
				return err
			}
		}
		time.Sleep(settleTime / 2)
	}
	return errors.New("another machine leads")
}

// finalFault takes the disks of two machines that hold the configuration at the same moment.
func finalFault(f *fleet) error {
	lost := f.cores[3:5]
	for _, m := range lost {
		if err := f.kill(m); err != nil {
			return err
		}
		if err := f.loseDisk(m); err != nil {
			return err
		}
	}
	time.Sleep(downTime)
	for _, m := range lost {
		if err := f.startCore(m, false); err != nil {
			return err
		}
	}
	return nil
}

// The tables of an operator, by their numbers of routes.
const (
	smallTable = 1
	largeTable = stormRoutes
)

// orderTime bounds how long a change may take to be acknowledged.
const orderTime = 20 * time.Second

// put sends a new version, again and again to any portal, until it is acknowledged. It returns the address that has acknowledged it.
func (o *operator) put(routes int) (string, error) {
	o.version++
	body := configuration(o.version, routes)
	for end := time.Now().Add(orderTime); time.Now().Before(end); {
		address := o.anyTarget()
		a, err := callControl(http.MethodPut, address, "/config", body)
		if err == nil && a.status == http.StatusOK {
			o.acked.Store(true)
			o.record.add("operator", "PUT /config version %d, %d bytes: acknowledged by %s", o.version, len(body), a.address)
			return a.address, nil
		}
		o.record.add("operator", "PUT /config version %d to %s: status %d %s", o.version, address, a.status, errorText(err))
		time.Sleep(retryPause)
	}
	return "", fmt.Errorf("version %d wasn't acknowledged in %v", o.version, orderTime)
}

// storm sends many changes one after the other.
func (o *operator) storm() error {
	for range stormChanges {
		if _, err := o.put(largeTable); err != nil {
			return err
		}
		time.Sleep(stormGap)
	}
	return nil
}

// stormGap is the pause between two changes.
const stormGap = 80 * time.Millisecond

// readBack reads the configuration until it comes, for readTime.
func (o *operator) readBack() error {
	for end := time.Now().Add(readTime); time.Now().Before(end); time.Sleep(retryPause) {
		address := o.anyTarget()
		a, err := callControl(http.MethodGet, address, "/config", nil)
		o.record.add("operator", "GET /config from %s: status %d, version %d %s", address, a.status, a.version, errorText(err))
		switch {
		case err != nil || a.status != http.StatusOK:
		case a.version == o.version:
			return nil
		default:
			return fmt.Errorf("%w: version %d is read back, and %d was acknowledged", errBroken, a.version, o.version)
		}
	}
	return fmt.Errorf("%w: the configuration doesn't come within %v after recover_s; version %d was acknowledged", errBroken, readTime, o.version)
}
