// Package standin holds small stand-ins for the systems around hickoryhead.
package standin
