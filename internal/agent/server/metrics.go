package server

// registerMetrics registers the agent's metrics.
func (s *Server) registerMetrics() {
	m := s.opts.Metrics
	m.GaugeFunc("agent_running", "Attempts in progress.", func() float64 { return float64(s.InProgress()) })
	m.GaugeFunc("agent_rejected", "Frames and engine events dropped since the start.",
		func() float64 { return float64(s.Rejected()) })
	m.GaugeFunc("agent_serving", "1 while this head takes work for its replica.", s.servingGauge)
	m.GaugeFunc("agent_engine_healthy", "1 while the engine passes its health check.", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return boolGauge(s.gate.EngineHealthy())
	})
}

func (s *Server) servingGauge() float64 {
	at := s.leaseStatus()
	s.mu.Lock()
	defer s.mu.Unlock()
	assigned, _, _ := s.gate.AssignedReplica()
	return boolGauge(s.gate.CheckAccept(at, assigned.ID, assigned.Fence) == nil)
}

func boolGauge(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
