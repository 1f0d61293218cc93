package router

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// authenticate returns the environment and the caller that the request's bearer key
// belongs to. If named is not empty, the key must belong to that environment.
func (s *Server) authenticate(r *http.Request, named ident.Environment) (*environment, config.Caller, *Failure) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, config.Caller{}, notRun(wire.CodeUnauthorized, "a bearer key is required")
	}
	if named != "" && s.environments[named] == nil {
		return nil, config.Caller{}, notRun(wire.CodeUnknownEnvironment, "there is no environment %q", named)
	}
	sum := sha256.Sum256([]byte(key))
	return s.findCaller(hex.EncodeToString(sum[:]), named)
}

func (s *Server) findCaller(sum string, named ident.Environment) (*environment, config.Caller, *Failure) {
	ready := false
	for name, env := range s.environments {
		c := env.catalog.Load()
		if c == nil || named != "" && name != named {
			continue
		}
		ready = true
		if caller, ok := c.Caller(sum); ok {
			return env, caller, nil
		}
	}
	if !ready {
		f := notRun(wire.CodePlatformUnavailable, "no configuration is in force yet")
		f.RetryAfter = configRetryAfter
		return nil, config.Caller{}, f
	}
	return nil, config.Caller{}, notRun(wire.CodeUnauthorized, "the key is not known")
}
