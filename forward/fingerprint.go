package forward

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/strike"
)

// fingerprint identifies what the caller asks for: the same caller has the same
// fingerprint for the same host, decoded path, query and body, whatever the method, the
// attempt ID and the other headers are. The body must have been read.
func (exchange *exchange) fingerprint() ident.Fingerprint { return exchange.suspect().Fingerprint }

// digest returns the fingerprint of the request with another query.
func (exchange *exchange) digest(query string) ident.Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	parts := [...]string{exchange.route.Host, exchange.request.URL.Path, query, string(exchange.workspaceID())}
	for _, part := range parts {
		// A digest's writes return no error.
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	for _, part := range exchange.body {
		_, _ = digest.Write(part)
	}
	return ident.Fingerprint(digest.Sum64())
}

// suspect returns the keys of the request as a possible cause of crashes. They are made
// once, as they take a hash of the whole body.
func (exchange *exchange) suspect() strike.Request {
	if exchange.knownSuspect == nil {
		query := exchange.request.URL.RawQuery
		request := strike.Request{Fingerprint: exchange.digest(query), Parts: exchange.partKeys()}
		if query != "" {
			request.WithoutQuery = exchange.digest("")
		}
		exchange.knownSuspect = &request
	}
	return *exchange.knownSuspect
}

// workspaceID returns the workspace of the caller, or an empty ID if the caller
// has none.
func (exchange *exchange) workspaceID() ident.WorkspaceID {
	if exchange.workspace == nil {
		return ""
	}
	return exchange.workspace.ID
}

// maxPartKeys is how many parts of a prompt are tracked as possible causes of
// crashes.
const maxPartKeys = 32

// partKeys returns the keys of the parts of the prompt. A part has the same key in
// the prompts of all callers.
func (exchange *exchange) partKeys() []ident.Fingerprint {
	parts := exchange.head.Prompt[:min(len(exchange.head.Prompt), maxPartKeys)]
	keys := make([]ident.Fingerprint, len(parts))
	for i, part := range parts {
		keys[i] = ident.Fingerprint(xxhash.Sum64String(part.ID))
	}
	return keys
}

// partID returns the ID of the part of the prompt with the given key, or an empty
// one if none has it.
func (exchange *exchange) partID(key ident.Fingerprint) string {
	if index := slices.Index(exchange.suspect().Parts, key); index >= 0 {
		return exchange.head.Prompt[index].ID
	}
	return ""
}
