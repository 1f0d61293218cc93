package main

import (
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore/objecthttp"
)

// platformFlags select the platform and the environment.
type platformFlags struct {
	Platform    string            `arg:"--platform,required,env:LAURELTALLY_PLATFORM" placeholder:"URL" help:"base URL of the object API"`
	Environment ident.Environment `arg:"--environment,required,env:LAURELTALLY_ENVIRONMENT" placeholder:"NAME" help:"name of the environment"`
}

func (f platformFlags) client() (*objecthttp.Client, error) {
	return objecthttp.New(objecthttp.Options{BaseURL: f.Platform})
}
