// Command stand holds the stand-ins of the second review: the platform's store, workers, a server that is no worker,
// clients, and the cases themselves. It uses the standard library only.
//
//	stand worker ...    one worker process
//	stand stranger ...  an HTTP server that is no worker
//	stand case NAME     one case; run.sh of each case calls it in the repository's root
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: stand worker|stranger|case")
		os.Exit(2)
	}
	switch os.Args[1] {
	case "worker":
		runWorker(os.Args[2:])
	case "stranger":
		runStranger(os.Args[2:])
	case "case":
		os.Exit(runCase(os.Args[2:]))
	default:
		fmt.Fprintln(os.Stderr, "unknown stand-in")
		os.Exit(2)
	}
}
