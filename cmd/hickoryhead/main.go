// Command hickoryhead runs the daemons of the router fleet and the operators'
// tools.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
