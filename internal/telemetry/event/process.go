package event

import "github.com/phuslu/log"

// Events of links and of the process.
var (
	ProcessStarted  = register(400, "process_started", log.InfoLevel)
	ProcessStopping = register(401, "process_stopping", log.InfoLevel)
	ProcessStopped  = register(402, "process_stopped", log.InfoLevel)
	SettingsInvalid = register(403, "settings_invalid", log.ErrorLevel)
	LinkLost        = register(404, "link_lost", log.WarnLevel)
	FrameRejected   = register(405, "frame_rejected", log.WarnLevel)
	KeysReloaded    = register(406, "keys_reloaded", log.InfoLevel)
	ConfigInForce   = register(407, "config_in_force", log.InfoLevel)
	ConfigRefused   = register(408, "config_refused", log.ErrorLevel)
	LeaderSought    = register(409, "leader_sought", log.InfoLevel)
	KeysRefused     = register(410, "keys_refused", log.ErrorLevel)

	LinesDropped     = register(411, "lines_dropped", log.WarnLevel)
	SettingsReloaded = register(412, "settings_reloaded", log.InfoLevel)

	StopSignalRepeated = register(413, "stop_signal_repeated", log.WarnLevel)
	ProcessFailed      = register(414, "process_failed", log.ErrorLevel)
	CallersLimited     = register(415, "callers_limited", log.WarnLevel)
	// ResponseUnsent says that a connection was closed before its caller had received all of a response.
	ResponseUnsent = register(416, "response_unsent", log.WarnLevel)
	// ResponseLeft says that a caller ended its connection before it had received all of a response.
	ResponseLeft = register(418, "response_left", log.InfoLevel)
	// AnswersUnreceived says that a link ended before its peer had received all answers.
	AnswersUnreceived = register(417, "answers_unreceived", log.WarnLevel)
)
