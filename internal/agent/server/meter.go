package server

// meter registers the agent's metrics.
func (s *Server) meter() {
	m := s.opts.Metrics
	m.GaugeFunc("agent_running", "Attempts in progress.", func() float64 { return float64(s.InProgress()) })
	m.GaugeFunc("agent_rejected", "Frames and engine events dropped since the start.",
		func() float64 { return float64(s.Rejected()) })
	m.GaugeFunc("agent_serving", "1 while this head takes work for its replica.", s.serving)
	m.GaugeFunc("agent_engine_healthy", "1 while the engine passes its health check.", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return flag(s.gate.EngineHealthy())
	})
}

func (s *Server) serving() float64 {
	at := s.reading()
	s.mu.Lock()
	defer s.mu.Unlock()
	place, _, _ := s.gate.AssignedReplica()
	return flag(s.gate.CheckAccept(at, place.ID, place.Fence) == nil)
}

func flag(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
