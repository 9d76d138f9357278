// Command stand runs the cases of the review that are scripts: stand-ins for clients, workers and the platform's store
// around processes of the project, on loopback addresses.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

func main() {
	if len(os.Args) == 3 && os.Args[1] == "worker" {
		serveUnframed(os.Args[2])
		return
	}
	name := flag.String("case", "", "case to run")
	folder := flag.String("folder", "", "folder of the case, for record.txt")
	keep := flag.String("logs", "", "folder for the logs of the entry hosts; none are kept without it")
	flag.Parse()
	cases := map[string]func(trouble bool, directory string) ([]*entry, []string){"two": caseTwo, "memory": caseMemory, "limit": caseLimit, "unframed": caseUnframed}
	run := cases[*name]
	keepLogs = *keep
	out, err := os.Create(filepath.Join(*folder, "record.txt"))
	if err != nil || run == nil {
		fmt.Println("usage: stand -case NAME -folder DIR")
		os.Exit(2)
	}
	recordOut = bufio.NewWriter(out)
	directory, err := os.MkdirTemp("", "review")
	check(err)
	cleanups = append(cleanups, func() { _ = os.RemoveAll(directory) })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() { <-stop; fail("interrupted") }()
	time.AfterFunc(115*time.Second, func() { fail("not done within 115 s") })
	_, broken := run(os.Getenv("TROUBLE") != "0", directory)
	for _, text := range broken {
		fmt.Println(text)
		record("BROKEN %s", text)
	}
	if len(broken) > 0 {
		finish(1)
	}
	fmt.Println("the rule held")
	record("the rule held")
	finish(0)
}
