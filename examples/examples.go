// Package examples holds annotated documents of two environments and settings
// of the daemons, in JSON with comments.
package examples

import _ "embed"

// Muotiennuste is the document of the environment "muotiennuste".
//
//go:embed muotiennuste.jsonc
var Muotiennuste []byte

// Nordfjell is the document of the environment "nordfjell".
//
//go:embed nordfjell.jsonc
var Nordfjell []byte

// Router holds the settings of a router.
//
//go:embed router.jsonc
var Router []byte

// AgentEngine holds the settings of an agent beside a model engine.
//
//go:embed agent-engine.jsonc
var AgentEngine []byte

// AgentService holds the settings of an agent beside a plain service.
//
//go:embed agent-service.jsonc
var AgentService []byte
