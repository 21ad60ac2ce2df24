// Package config reads and checks the settings file of a daemon.
//
// It promises that a file that it accepts has no unknown keys and no value out
// of its range, and that its errors name the file, the path in it, the value
// and what is allowed.
package config
