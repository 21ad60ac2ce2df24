// Package config reads and validates the settings files of daemons.
//
// An accepted file has no unknown keys and no value outside its range. Validation
// errors name the file, the path of the value in it, the value and what is
// allowed; secrets are not printed.
package config
