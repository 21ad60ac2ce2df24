// Package faulttest holds the tests that inject one fault at a time into running
// daemons: killed and frozen processes, broken connections, and lost and late
// answers of the platform. Each test names the guarantee that it checks;
// docs/design/outcomes.md lists them next to the properties of the packages
// without I/O.
package faulttest
