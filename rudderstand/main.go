// Command rudderstand runs stand-ins for the environment of comfreyrudder.
package main

func main() {}
