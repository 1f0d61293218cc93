package main

import (
	"os"

	"github.com/apex/log"
)

func main() {
	t := &table{}
	for _, s := range sections() {
		s(t)
	}
	if err := t.print(os.Stdout); err != nil {
		log.WithError(err).Fatal("bench")
	}
}
