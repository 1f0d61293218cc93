// Package audit keeps records of what operators changed.
//
// A record is first written in the same conditional update as the change that
// it tells of, and then copied to audit/{environment}/{time}-{id}. A copy that
// a crash prevented is made up for later from what was left beside the change.
package audit
