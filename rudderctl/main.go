// Command rudderctl is the command line for operators of comfreyrudder.
package main

func main() {}
