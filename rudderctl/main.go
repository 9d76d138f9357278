// Command rudderctl is the command-line tool for operators of comfreyrudder.
package main

import (
	"os"

	"comfreyrudder.example/rudderctl/rudderctlapp"
)

func main() {
	os.Exit(rudderctlapp.Execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr, os.LookupEnv))
}
