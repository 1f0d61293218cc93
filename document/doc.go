// Package document keeps the documents of environments in the platform's
// service: conditional updates by operators, trial and promotion, and a watcher
// that brings each newer version in force.
//
// An environment has two documents, config/{environment}/trial and
// config/{environment}/production. Each object is an Envelope that holds the
// text as the operator wrote it and the audit records that may not be copied
// yet.
package document
