// Package logging creates the structured loggers of a daemon and its
// components.
//
// It guarantees that every message of a component's logger starts with the name
// of the component, such as "router: ", in both the text and the JSON format.
package logging

import (
	"context"
	"io"
	"log/slog"

	"github.com/cockroachdb/errors"
)

// Format is an output format of the log.
type Format string

// The supported formats.
const (
	Text Format = "text"
	JSON Format = "json"
)

// New returns a logger that writes messages of at least level, such as "info",
// to out. It returns an error for an unknown format or level.
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

// shorten replaces an error by its text, without its stack trace.
func shorten(_ []string, attr slog.Attr) slog.Attr {
	if err, ok := attr.Value.Any().(error); ok {
		return slog.String(attr.Key, err.Error())
	}
	return attr
}

// Component returns a logger that writes to logger and puts component and a
// colon before each message. With a nil logger it discards all messages.
func Component(logger *slog.Logger, component string) *slog.Logger {
	if logger == nil {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(&prefixHandler{Handler: logger.Handler(), prefix: component + ": "})
}

// prefixHandler puts prefix before the message of each record.
type prefixHandler struct {
	slog.Handler
	prefix string
}

// Handle passes record on with the prefix before its message.
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
