package upstream

import (
	"context"
	"io"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// Call is a request to a plain service.
type Call struct {
	Operation string
	Key       ident.IdempotencyKey
	Workspace ident.WorkspaceID
	Body      []byte
}

// Reply is a plain service's whole answer.
type Reply struct {
	Status      int
	ContentType string
	Body        string
}

// Stream gives the tokens of an engine's answer. Next returns io.EOF after the
// token with Done set, and io.ErrUnexpectedEOF where the stream was cut.
type Stream struct {
	Next  func() (Token, error)
	Close func() error
	// Buffered reports whether a further token is at hand without waiting.
	Buffered func() bool
}

// Client reaches one upstream. Its fields are seams: New sets them to HTTP
// calls, and a test sets them to what it needs. An error is a *result.Error
// with UpstreamUnreachable where no byte was sent, UpstreamFailed where the
// upstream refused with a status, and OutcomeUnknown otherwise.
type Client struct {
	Generate func(ctx context.Context, generate Generate) (*Stream, error)
	Call     func(ctx context.Context, call Call) (Reply, error)
	Cancel   func(ctx context.Context, attempt ident.AttemptID) error
	Load     func(ctx context.Context) (Load, error)
	Events   func(ctx context.Context, after uint64) ([]CacheEvent, error)
	Export   func(ctx context.Context, chat ident.ChatID) (io.ReadCloser, ident.Bytes, error)
	Import   func(ctx context.Context, chat ident.ChatID, body io.Reader) error
	Order    func(ctx context.Context, order Order) error
	// Alive reports whether the upstream accepts connections.
	Alive func(ctx context.Context, deadline time.Time) bool
}
