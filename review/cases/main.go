// Command cases runs one case of the second review. It exits with 1 if the rule was broken, 0
// if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

// The exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	cases := map[string]func(record string, trouble bool) (int, error){
		"smuggled": smuggled,
		"memory":   memory,
		"late":     lateWrite,
		"joined":   joined,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		os.Exit(failed)
	}
	code, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		os.Exit(failed)
	}
	os.Exit(code)
}
