// Package serving describes what an operator configures for a hosted
// installation: routes, the services behind them, the models of their engines,
// and limits on callers. It is the form that the rest of the project works
// with, whatever the platform calls things.
//
// Table finds the route of a request. InForce keeps the configuration from ever
// going back within the life of a process.
package serving
