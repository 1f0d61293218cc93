// Package upstreamhttp sends requests to upstream VMs over kept HTTP/1.1
// connections and never repeats one by itself.
//
// It exists beside net/http's Transport because the caller has to know whether a
// request may have reached the upstream, and because answers that belong to an
// earlier request, or bytes after a complete answer, must not reach another
// request. Messages are parsed by net/http.
package upstreamhttp
