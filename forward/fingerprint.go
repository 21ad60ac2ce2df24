package forward

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/ident"
)

// fingerprint identifies what the caller asks for: the same caller has the same
// fingerprint for the same method, host, path, query and body, whatever the
// attempt ID and the other headers are. The body must have been read.
func (exchange *exchange) fingerprint() ident.Fingerprint {
	if exchange.fingerprinted {
		return exchange.knownFingerprint
	}
	var digest xxhash.Digest
	digest.Reset()
	parts := [...]string{exchange.request.Method, exchange.route.Host, exchange.target(), string(exchange.workspaceID())}
	for _, part := range parts {
		// A digest's writes return no error.
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(exchange.body)
	exchange.knownFingerprint = ident.Fingerprint(digest.Sum64())
	exchange.fingerprinted = true
	return exchange.knownFingerprint
}

// workspaceID returns the workspace of the caller, or an empty ID if the caller
// has none.
func (exchange *exchange) workspaceID() ident.WorkspaceID {
	if exchange.workspace == nil {
		return ""
	}
	return exchange.workspace.ID
}
