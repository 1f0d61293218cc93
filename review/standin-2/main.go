// Command probe plays the cases of the second review: stand-ins of clients, servers and the
// platform around the project's own programs.
//
//	probe CASE ROOT RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(*world) bool{
	"unframed":  unframedStreams,
	"in-place":  upgradeInPlace,
	"late-load": lateLoad,
	"restart":   streamsAfterRestart,
	"foreign":   foreignEntries,
	"slow":      slowReaders,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		runServer(os.Args[2:])
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: probe CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(run func(*world) bool, root, record string) (status int) {
	var w *world
	defer func() {
		r := recover()
		if r != nil {
			status = 2
			fmt.Fprintln(os.Stderr, "the case could not run:", r)
		}
		if w != nil {
			w.note("exit status %d", status)
			w.close()
		}
	}()
	w = newWorld(root, record)
	if run(w) {
		return 1
	}
	return 0
}
