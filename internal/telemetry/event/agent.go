package event

import "github.com/phuslu/log"

// Events of the agent.
var (
	OrderPassed       = register(200, "order_passed", log.InfoLevel)
	OrderDropped      = register(201, "order_dropped", log.WarnLevel)
	EngineOrderFailed = register(202, "engine_order_failed", log.ErrorLevel)
	GateOpened        = register(203, "gate_opened", log.InfoLevel)
	GateClosed        = register(204, "gate_closed", log.WarnLevel)
	EngineUnhealthy   = register(205, "engine_unhealthy", log.WarnLevel)
	EngineHealthy     = register(206, "engine_healthy", log.InfoLevel)
	EngineCrashed     = register(207, "engine_crashed", log.ErrorLevel)
	AgentSuperseded   = register(208, "agent_superseded", log.ErrorLevel)
	CrashUnreported   = register(209, "crash_unreported", log.ErrorLevel)
	EndpointLimited   = register(210, "endpoint_limited", log.InfoLevel)
	WarmUpStarted     = register(211, "warm_up_started", log.InfoLevel)
	ConfigUnreadable  = register(212, "config_unreadable", log.WarnLevel)
)
