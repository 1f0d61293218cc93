// Package audit stores records of operators' changes.
//
// A record is first stored with the change that it describes, in the same
// conditional update, and then copied to audit/{environment}/{time}-{id}. If a
// crash prevents the copy, it is made later from the record stored with the change.
package audit
