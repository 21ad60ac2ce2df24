// Package standin provides in-memory stand-ins for the systems around
// hickoryhead: the platform, model engines, plain services and runners. Tests,
// demonstrations and trials use them; docs/STANDINS.md lists their switches.
//
// The zero values of Platform, Engine and Service are ready to use as
// http.Handlers. The answer of an engine depends on nothing but the prompt.
// Where the fields Now and Sleep of a Clock are set, the stand-in that embeds it
// does not depend on real time.
package standin
