package strike

import "github.com/hickoryhead/hickoryhead/ident"

// Request is what is known of a request as a possible cause of crashes.
type Request struct {
	// Fingerprint is the same for each repeat of the request.
	Fingerprint ident.Fingerprint
	// WithoutQuery is the same for each repeat whose query differs, or zero for a request
	// without a query.
	WithoutQuery ident.Fingerprint
	// Parts are the keys of the parts of its prompt.
	Parts []ident.Fingerprint
}

// keys returns all keys of the request, its own first.
func (request Request) keys() []ident.Fingerprint { return append(request.own(), request.Parts...) }

// own returns the keys of the request as a whole.
func (request Request) own() []ident.Fingerprint {
	if request.WithoutQuery == 0 {
		return []ident.Fingerprint{request.Fingerprint}
	}
	return []ident.Fingerprint{request.Fingerprint, request.WithoutQuery}
}
