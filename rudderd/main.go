// Command rudderd runs one entry host of comfreyrudder.
package main

func main() {}
