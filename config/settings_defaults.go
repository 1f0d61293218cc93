package config

import "time"

// Defaults of the daemons' settings.
const (
	DefaultLogFormat          = LogFormatJSON
	DefaultLogLevel           = "info"
	DefaultReportInterval     = 500 * time.Millisecond
	DefaultShutdownDelay      = 5 * time.Second
	DefaultShutdownTimeout    = 30 * time.Second
	DefaultServiceConcurrency = 64
	// DefaultMaxConnections is a router's limit of connections of callers.
	DefaultMaxConnections = 4096
)

// The log formats.
const (
	LogFormatJSON = "json"
	LogFormatText = "text"
)

func (l *LogSettings) setDefaults() {
	*l = LogSettings{Format: DefaultLogFormat, Level: DefaultLogLevel}
}

func (s *RouterSettings) setDefaults() {
	s.Log.setDefaults()
	s.ShutdownDelay = Duration(DefaultShutdownDelay)
	s.MaxConnections = DefaultMaxConnections
	s.ShutdownTimeout = Duration(DefaultShutdownTimeout)
}

func (s *AgentSettings) setDefaults() {
	s.Log.setDefaults()
	s.Concurrency = DefaultServiceConcurrency
	s.ReportInterval = Duration(DefaultReportInterval)
	s.ShutdownTimeout = Duration(DefaultShutdownTimeout)
}
