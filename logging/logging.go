// Package logging builds the structured logger of each part.
//
// It promises that every message of a part starts with that part's fixed
// prefix, such as "router: ", in both the text and the JSON format.
package logging

import (
	"context"
	"io"
	"log/slog"

	"github.com/cockroachdb/errors"
)

// Format names an output format of the log.
type Format string

// The formats of the log.
const (
	Text Format = "text"
	JSON Format = "json"
)

// New returns a logger that writes to out at level, such as "info".
func New(out io.Writer, format Format, level string) (*slog.Logger, error) {
	var threshold slog.Level
	if err := threshold.UnmarshalText([]byte(level)); err != nil {
		return nil, errors.Wrapf(err, "log level %q: want debug, info, warn or error", level)
	}
	options := &slog.HandlerOptions{Level: threshold, ReplaceAttr: shorten}
	switch format {
	case Text:
		return slog.New(slog.NewTextHandler(out, options)), nil
	case JSON:
		return slog.New(slog.NewJSONHandler(out, options)), nil
	}
	return nil, errors.Newf("log format %q: want text or json", format)
}

// shorten logs the text of an error without its stack trace.
func shorten(_ []string, attr slog.Attr) slog.Attr {
	if err, ok := attr.Value.Any().(error); ok {
		return slog.String(attr.Key, err.Error())
	}
	return attr
}

// Component returns logger with the prefix of component before each message. A
// nil logger gives one that discards everything.
func Component(logger *slog.Logger, component string) *slog.Logger {
	if logger == nil {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(&prefixHandler{Handler: logger.Handler(), prefix: component + ": "})
}

type prefixHandler struct {
	slog.Handler
	prefix string
}

// Handle writes record with the prefix before its message.
func (handler *prefixHandler) Handle(ctx context.Context, record slog.Record) error {
	record.Message = handler.prefix + record.Message
	return handler.Handler.Handle(ctx, record)
}

// WithAttrs returns a handler that adds attrs to each record.
func (handler *prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &prefixHandler{Handler: handler.Handler.WithAttrs(attrs), prefix: handler.prefix}
}

// WithGroup returns a handler that opens the group name.
func (handler *prefixHandler) WithGroup(name string) slog.Handler {
	return &prefixHandler{Handler: handler.Handler.WithGroup(name), prefix: handler.prefix}
}
