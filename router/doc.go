// Package router serves callers: it validates and admits their requests, chooses an
// upstream, dispatches attempts to agents and forwards the responses. It does the I/O;
// the decisions are made in the packages that it uses.
package router
