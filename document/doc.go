// Package document stores the configuration documents of environments in the
// platform's object store. Operators update a document on condition that it has not
// changed since they read it, and promote the trial document to production. A
// watcher puts each newer version in force.
//
// An environment has two documents, config/{environment}/trial and
// config/{environment}/production. Each object is an Envelope that holds the
// text as the operator wrote it and the audit records that may not have been
// copied yet.
package document
