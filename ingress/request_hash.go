package ingress

import (
	"encoding/binary"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/serving"
)

// headerAuthorization is the header that holds a caller's key, if the configuration has
// tenants. It is not forwarded then.
const headerAuthorization = "Authorization"

// callerHeaders are the headers by which a server knows its caller.
var callerHeaders = []string{headerAuthorization, "Cookie", "X-Api-Key"}

// requestHash computes a hash that a request shares with its repeats. The body is written to
// it as it is read.
type requestHash struct{ *xxhash.Digest }

// newRequestHash returns the hash of a request whose body has not been read yet: of its
// method, target, caller and prompt. Headers that differ between the repeats of a request,
// such as its id and the remaining time, are left out. If callers are authenticated, the
// name of the tenant stands for their keys.
func newRequestHash(r *http.Request, info *serving.RequestInfo, authenticated bool, tenant ident.Tenant) requestHash {
	h := requestHash{xxhash.New()}
	h.text(r.Method, r.Host, r.RequestURI, string(info.Model), string(info.Adapter))
	for _, name := range callerHeaders {
		if name == headerAuthorization && authenticated {
			h.text(string(tenant))
		} else {
			h.text(r.Header.Values(name)...)
		}
		h.text("")
	}
	for _, p := range info.Prefix {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(p.ID)))
	}
	h.text("")
	return h
}

// text adds strings, each with an end mark. Writes to the hash never fail.
func (h requestHash) text(all ...string) {
	for _, s := range all {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
}

// trait returns the trait of the request, once its body has been written.
func (h requestHash) trait() ident.Trait { return ident.TraitOfRequest(h.Sum64()) }
