// Package responsehead decides whether the head of an HTTP/1 response is valid, by its bytes as they
// arrive, before anything is read from it. The parser of net/http is more tolerant than a proxy may be:
// it takes any status under 200 for an informational response without a body, and names with blanks.
package responsehead
