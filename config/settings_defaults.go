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
	// DefaultMaxConnections and DefaultBodyMemoryMB bound what a router holds for callers.
	DefaultMaxConnections = 2048
	DefaultBodyMemoryMB   = 64
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
	s.BodyMemoryMB = DefaultBodyMemoryMB
	s.ShutdownTimeout = Duration(DefaultShutdownTimeout)
}

func (s *AgentSettings) setDefaults() {
	s.Log.setDefaults()
	s.Concurrency = DefaultServiceConcurrency
	s.ReportInterval = Duration(DefaultReportInterval)
	s.ShutdownTimeout = Duration(DefaultShutdownTimeout)
}
