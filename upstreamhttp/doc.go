// Package upstreamhttp sends requests to upstream VMs over persistent HTTP/1.1
// connections. It never retries a request.
//
// net/http's Transport is not used because callers have to know whether a request may
// have reached the upstream, and because a response to an earlier request, or bytes
// after a complete response, must not be delivered to another request. Messages are
// parsed by net/http once package responsehead has checked their heads.
package upstreamhttp
