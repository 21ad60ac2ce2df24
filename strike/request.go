package strike

import "github.com/hickoryhead/hickoryhead/ident"

// Request is what is known of a request as a possible cause of crashes.
type Request struct {
	// Fingerprint is the same for each repeat of the request.
	Fingerprint ident.Fingerprint
	// Parts are the keys of the parts of its prompt.
	Parts []ident.Fingerprint
}

// keys returns all keys of the request, its own first.
func (request Request) keys() []ident.Fingerprint {
	return append([]ident.Fingerprint{request.Fingerprint}, request.Parts...)
}
