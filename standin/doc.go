// Package standin holds small stand-ins for the systems around hickoryhead: the
// platform, a model engine and a plain service. They serve tests, demonstrations
// and trials; docs/STANDINS.md lists their switches.
//
// It promises that the zero value of each stand-in is a ready http.Handler, that
// an engine's answer depends on nothing but the prompt, and that no verdict
// depends on the clock where the seams Now and Sleep are set.
package standin
