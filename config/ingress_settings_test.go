package config

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// Guards against a bound for removed keys that no router can keep, and against settings
// from before there was one that are refused.
func TestRevocationSettings(t *testing.T) {
	const rest = `"vm":"v","region":"r","zone":"z","zones":[{"zone":"z","region":"r"}],"listen":"127.0.0.1:1","readiness_listen":"127.0.0.1:2",
		"admin_listen":"127.0.0.1:3","sidecar_port":4,"metadata_store":"127.0.0.1:5","config_within":"4s","leaving_within":"4s","shutdown_timeout":"8s"`
	s, err := ReadIngressSettings([]byte(`{` + rest + `}`))
	if err != nil || s.RevokeStrict || time.Duration(s.RevokeWithin) != 5*time.Second {
		t.Errorf("defaults: %v %v %v", s.RevokeStrict, time.Duration(s.RevokeWithin), err)
	}
	s, err = ReadIngressSettings([]byte(`{` + rest + `,"revoke_strict":true,"revoke_within":"3s"}`))
	if err != nil || !s.RevokeStrict || time.Duration(s.RevokeWithin) != 3*time.Second {
		t.Errorf("got %v %v %v", s.RevokeStrict, time.Duration(s.RevokeWithin), err)
	}
	for _, field := range []string{`"revoke_within":"0s"`, `"revoke_within":"-1s"`, `"revoke_within":"100ms"`, `"revoke_within":5`, `"revoke_strict":"yes"`} {
		_, err := ReadIngressSettings([]byte(`{` + rest + `,` + field + `}`))
		var invalid *InvalidError
		if !errors.As(err, &invalid) || len(invalid.Problems) != 1 || !strings.HasPrefix(invalid.Problems[0].Path, "revoke_") {
			t.Errorf("%s: %v", field, err)
		}
	}
}
