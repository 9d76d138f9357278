// Command rudderd runs one entry host of comfreyrudder.
package main

import (
	"os"

	"comfreyrudder.example/rudderd/rudderapp"
)

func main() {
	os.Exit(rudderapp.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
