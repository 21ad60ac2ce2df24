// Package operator serves operators over HTTP.
package operator
