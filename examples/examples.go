// Package examples embeds example documents of two environments and example
// settings of the daemons, in JSON with comments.
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

// Router contains the settings of a router.
//
//go:embed router.jsonc
var Router []byte

// AgentEngine contains the settings of an agent for a model engine.
//
//go:embed agent-engine.jsonc
var AgentEngine []byte

// AgentService contains the settings of an agent for a plain service.
//
//go:embed agent-service.jsonc
var AgentService []byte
