// Package faulttest holds the tests that bring about one fault at a time on
// running daemons: kills, freezes, cut connections, lost and late answers of
// the platform. Each test names the promise that it checks; docs/design/outcomes.md
// lists them beside the properties of the pure packages.
package faulttest
