// Package catalog answers what a document says of a name: which model an API
// model name means, how a call of a service is treated, whose a key is.
//
// A Catalog is immutable, so one can be shared by all goroutines and replaced
// as a whole when a new version of the document comes in force.
package catalog
