// Package replay runs the decisions on cold starts, idle replicas and the weight
// store against seeded arrivals on virtual time, and measures cold-start times and
// idle accelerator hours. Engines, links and the weight store are simulated: a
// load takes a time that depends on tier and size, a request a random time.
package replay
