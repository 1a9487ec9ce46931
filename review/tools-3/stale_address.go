package main

import (
	"errors"
	"time"
)

const (
	// absentTime is how long a machine is down while another one is replaced.
	absentTime = 7 * time.Second
	// catchUpTime is catch_up_s.
	catchUpTime = 4 * time.Second
	// shortLoss is how long a machine is down while a change is acknowledged.
	shortLoss = 3 * time.Second
)

// staleAddress replaces a machine of the core while another one is down. The successor leads when that one is back. Later two machines that
// hold an acknowledged change lose their disks, and a third one was down when it was acknowledged. The rule is broken if the
// acknowledged configuration doesn't come when it is read back.
func staleAddress(r *record, trouble bool) error {
	f, err := newFleet(r)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.startAll(); err != nil {
		return err
	}
	o := &operator{record: r, targets: f.controlAddresses}
	for range 3 {
		if _, err := o.put(smallTable); err != nil {
			return err
		}
	}
	if !trouble {
		return staleAddressControl(o)
	}
	if err := replaceDuringAbsence(f, o); err != nil {
		return err
	}
	time.Sleep(2 * settleTime)
	if err := loseHolders(f, o); err != nil {
		return err
	}
	time.Sleep(recoverTime)
	return o.readBack()
}

// staleAddressControl sends the same changes with the same waits while no machine is lost.
func staleAddressControl(o *operator) error {
	time.Sleep(absentTime)
	for range 2 {
		if _, err := o.put(smallTable); err != nil {
			return err
		}
	}
	time.Sleep(2 * settleTime)
	if _, err := o.put(smallTable); err != nil {
		return err
	}
	time.Sleep(shortLoss + recoverTime)
	return o.readBack()
}

// replaceDuringAbsence replaces the first machine while the last one is down, and lets the successor lead before that one is back.
func replaceDuringAbsence(f *fleet, o *operator) error {
	absent := f.cores[len(f.cores)-1]
	if err := f.kill(absent); err != nil {
		return err
	}
	down := time.Now()
	if err := f.replaceFirst(); err != nil {
		return err
	}
	time.Sleep(catchUpTime + 100*time.Millisecond)
	leader, err := o.put(smallTable)
	if err != nil {
		return err
	}
	if leader != f.controlAddress(f.cores[0]) {
		for _, m := range f.cores {
			if f.controlAddress(m) != leader {
				continue
			}
			if err := f.stopAndStart(m); err != nil {
				return err
			}
		}
	}
	time.Sleep(time.Until(down.Add(absentTime)))
	if leader, err = o.put(smallTable); err != nil {
		return err
	}
	if leader != f.controlAddress(f.cores[0]) {
		return errors.New("the successor doesn't lead")
	}
	return f.startCore(absent, false)
}

// loseHolders lets a change be acknowledged while one machine is down, and takes the disks of the two that hold it beside the leader. All
// three are back soon, the one that was down with its disk.
func loseHolders(f *fleet, o *operator) error {
	down, lost := f.cores[3], f.cores[1:3]
	if err := f.kill(down); err != nil {
		return err
	}
	if _, err := o.put(smallTable); err != nil {
		return err
	}
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
	time.Sleep(shortLoss - downTime)
	return f.startCore(down, false)
}
