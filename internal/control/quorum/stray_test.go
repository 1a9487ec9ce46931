package quorum

import "slices"

// displace starts another process, with an empty disk, in place of n, which runs on.
func (s *simulation) displace(n *simNode) {
	successor := &simNode{id: n.id, clockRate: n.clockRate, syncTime: defaultSyncTime, previousDisk: n.previousDisk}
	s.nodes[n.id], s.strays = successor, append(s.strays, n)
	s.loseDisk(n.id)
	successor.previousDisk = n.previousDisk
	s.bootNode(successor)
}

// isDisplaced reports whether the hosts have another disk than that of the process n in its place for good: the newest committed membership
// says so, and the leader's log names it no more.
func (s *simulation) isDisplaced(n *simNode) bool {
	leader := s.leader()
	if leader == nil || !leader.node.IsReplaced(n.id, n.disk.Hard.Generation) {
		return false
	}
	for _, e := range slices.Backward(s.committed) {
		if e.Membership != nil {
			return e.Membership.Current[n.id] != n.disk.Hard.Generation
		}
	}
	return false
}

// moveStray ends a displaced process and gives its disk, without its vote, to the host to, whose own disk is lost.
func (s *simulation) moveStray(n, to *simNode) {
	s.strays = slices.DeleteFunc(s.strays, func(other *simNode) bool { return other == n })
	s.crashNode(n)
	s.crash(to.id)
	s.loseDisk(to.id)
	to.disk = n.disk
	to.disk.Hard = n.disk.Hard.WithoutVote()
	s.boot(to.id)
}

// settleStrays ends one of the processes of each host that has several. That one goes on whose disk the newest committed membership names.
func (s *simulation) settleStrays() {
	var committed *Membership
	for _, e := range s.committed {
		if e.Membership != nil {
			committed = e.Membership
		}
	}
	for _, n := range s.strays {
		if committed != nil && committed.Current[n.id] == n.disk.Hard.Generation {
			s.nodes[n.id] = n
		}
	}
	s.strays = nil
}
