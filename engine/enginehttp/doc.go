// Package enginehttp calls the admin API of a model engine over HTTP.
package enginehttp
