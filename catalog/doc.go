// Package catalog looks up names in a configuration document: the target of a
// model name in the API, the settings of a service, and the caller of a key.
//
// A Catalog is immutable, so it can be shared by all goroutines and is replaced
// as a whole when a new version of the document takes effect.
package catalog
