// Package resume remembers which software version began a stream, so that a caller who
// resumes it, at any router, gets the rest from the same version.
//
// Routers tell the version of each resumable stream to one agent, its home, when the
// first event arrives. A rendezvous hash of the request id chooses the home among the
// agents of the router's region, so that other routers find it without knowing where the
// stream began.
package resume
