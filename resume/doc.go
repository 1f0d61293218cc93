// Package resume says which software version began a stream, so that a caller who resumes
// it, at any router, gets the rest from the same version.
//
// Routers tell the version of each resumable stream to some agents, its homes, when the
// first event arrives (Records). A rendezvous hash of the request id chooses the homes among
// the agents of the router's region, so that other routers find them without knowing where
// the stream began.
//
// When no home knows, all agents may have been restarted. Then the metadata store tells
// whether a service has had a single version (Record, maintained by History).
package resume
