package main

import (
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
)

func main() {
	log.SetHandler(text.New(os.Stderr))
	t := &table{}
	for _, s := range sections() {
		if err := s.run(t); err != nil {
			log.WithError(err).WithField("section", s.name).Fatal("capacity")
		}
	}
	if err := t.print(os.Stdout); err != nil {
		log.WithError(err).Fatal("capacity")
	}
}
