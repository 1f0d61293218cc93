package main

import (
	"os"

	"github.com/alexflint/go-arg"
	"github.com/apex/log"
)

func main() {
	var a arguments
	arg.MustParse(&a)
	t := &table{}
	for _, s := range a.selected() {
		s(t)
	}
	if err := t.print(os.Stdout); err != nil {
		log.WithError(err).Fatal("bench")
	}
}
