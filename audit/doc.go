// Package audit stores records of operators' changes.
//
// The record of a change to a document or a drain is first stored with the change,
// in the same conditional update, and then copied to
// audit/{environment}/{time}-{id}. If a crash prevents the copy, it is made later
// from the record stored with the change. The record of a new authority or
// certificate is stored only under audit/, before the files are written.
package audit
