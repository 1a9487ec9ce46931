package session

import "context"

// Confirm waits until control has granted a renewal that was sent after the call, and this process holds the configuration
// that the grant names: that was the newest at some time since the call. It returns false if ctx or the session ends before. It
// sends nothing of its own: the next renewal is due soon.
func (s *Session) Confirm(ctx context.Context) bool {
	s.mu.Lock()
	needed := s.lease.LastSequence() + 1
	s.mu.Unlock()
	for {
		confirmed, open, changed := s.confirmation(needed)
		if confirmed || !open {
			return confirmed
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// confirmation reports whether the renewal with a sequence number or a later one was granted, whether a session is open,
// and returns a channel that is closed when either may have changed.
func (s *Session) confirmation(needed uint64) (confirmed, open bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.grantsChanged == nil {
		s.grantsChanged = make(chan struct{})
	}
	confirmed = s.granted >= needed && s.revision >= s.lease.Revision()
	return confirmed, s.stream != nil, s.grantsChanged
}

// notifyGrantsLocked wakes the callers of Confirm. mu is held.
func (s *Session) notifyGrantsLocked() {
	if s.grantsChanged != nil {
		close(s.grantsChanged)
		s.grantsChanged = nil
	}
}
