// Command shallotcourse runs the router's daemons and the operators' client.
package main

func main() {}
