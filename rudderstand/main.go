// Command rudderstand runs stand-ins for the environment of comfreyrudder: a whole fleet to try the
// system on, a demo, load, and measurements.
package main

import (
	"os"

	"comfreyrudder.example/rudderstand/rudderstandapp"
)

func main() {
	os.Exit(rudderstandapp.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
