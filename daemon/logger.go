package daemon

import (
	"fmt"
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
)

// NewLogger returns a logger that writes to w and adds the VM to each line.
func NewLogger(w io.Writer, s config.LogSettings, vm ident.VM) (log.Interface, error) {
	level := log.InfoLevel
	if s.Level != "" {
		parsed, err := log.ParseLevel(s.Level)
		if err != nil {
			return nil, fmt.Errorf("parse log level %q: %w", s.Level, err)
		}
		level = parsed
	}
	var h log.Handler = json.New(w)
	if s.Format == "text" {
		h = logfmt.New(w)
	}
	l := &log.Logger{Handler: h, Level: level}
	return l.WithField("vm", vm), nil
}
