// Package e2e tests the whole path through separate processes.
package e2e
