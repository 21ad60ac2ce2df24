// Package config reads and checks the settings file of a daemon.
package config
