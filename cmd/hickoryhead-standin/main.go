// Command hickoryhead-standin runs small stand-ins for the systems around
// hickoryhead: a model engine, a plain service and the platform.
package main

func main() {}
