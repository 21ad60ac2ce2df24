// Package admission decides what one upstream takes on.
//
// It promises that no admission lifts the load above the bound, that a request
// whose deadline cannot be met is refused at once, and that every refusal says
// when to come back. It reads no clock: the time comes in as an argument.
package admission
