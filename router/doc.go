// Package router puts the parts of a router daemon together.
package router
