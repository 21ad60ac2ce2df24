package upstream

import (
	"context"
	"io"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// Call is a request to an operation of a plain service. An empty Key or Workspace
// is not sent.
type Call struct {
	Operation string
	Key       ident.IdempotencyKey
	Workspace ident.WorkspaceID
	Body      []byte
}

// Reply is the complete response of a plain service, with any status.
type Reply struct {
	Status      int
	ContentType string
	Body        string
}

// Stream reads the tokens of an engine's response. It is not safe for concurrent
// use.
type Stream struct {
	// Next returns the next token. It returns io.EOF after the token with Done
	// set, and io.ErrUnexpectedEOF if the stream is truncated or malformed.
	Next func() (Token, error)
	// Close closes the response. The connection can be reused if Next has
	// returned the token with Done set.
	Close func() error
	// Buffered reports whether Next can return a token without waiting for the
	// network.
	Buffered func() bool
}

// Client calls one upstream. New sets its fields to functions that make HTTP
// calls; tests replace them with fakes. Errors are of type *result.Error, with code
// UpstreamUnreachable if no byte was sent, UpstreamFailed if the upstream responded
// with an error status, StaleFence if an engine refused an order because of its
// fencing number, and OutcomeUnknown otherwise.
type Client struct {
	// Generate starts a request to an engine. The caller closes the stream.
	Generate func(ctx context.Context, generate Generate) (*Stream, error)
	// Call makes a request to a plain service. A reply with an error status is
	// not an error.
	Call func(ctx context.Context, call Call) (Reply, error)
	// Cancel asks an engine to cancel an attempt.
	Cancel func(ctx context.Context, attempt ident.AttemptID) error
	// Load returns an engine's load report.
	Load func(ctx context.Context) (Load, error)
	// Events returns an engine's cache events after event number after. With an
	// error, it also returns the events that were read before it.
	Events func(ctx context.Context, after uint64) ([]CacheEvent, error)
	// Export returns the KV cache of a chat's prefix and its size, which is -1 if
	// it is unknown. The caller closes the reader.
	Export func(ctx context.Context, chat ident.ChatID) (io.ReadCloser, ident.Bytes, error)
	// Import writes the KV cache of a chat's prefix to an engine.
	Import func(ctx context.Context, chat ident.ChatID, body io.Reader) error
	// Order asks an engine to load or unload a model.
	Order func(ctx context.Context, order Order) error
	// Alive reports whether the upstream accepts a connection before deadline.
	Alive func(ctx context.Context, deadline time.Time) bool
}
