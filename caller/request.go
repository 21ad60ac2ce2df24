package caller

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"

	"github.com/hickoryhead/hickoryhead/bodylimit"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
	"github.com/hickoryhead/hickoryhead/upstream"
	"github.com/hickoryhead/hickoryhead/wait"
)

// The HTTP headers of the interface for callers.
const (
	HeaderWorkspace    = "Hickoryhead-Workspace"
	HeaderChat         = "Hickoryhead-Chat"
	HeaderAffinity     = "Hickoryhead-Affinity"
	HeaderPriority     = "Hickoryhead-Priority"
	HeaderTimeoutMs    = "Hickoryhead-Timeout-Ms"
	HeaderRepeat       = "Hickoryhead-Repeat"
	HeaderResult       = "Hickoryhead-Result"
	HeaderAnswer       = "Hickoryhead-Answer"
	HeaderRetryAfterMs = "Hickoryhead-Retry-After-Ms"
	HeaderKey          = "Idempotency-Key"
	HeaderLastEventID  = "Last-Event-ID"
)

const (
	defaultTimeout      = 60 * time.Second
	defaultMaxBodyBytes = ident.Bytes(1 << 20)
)

var validate = validator.New(validator.WithRequiredStructEnabled())

// incoming is one accepted request of a caller.
type incoming struct {
	id        ident.RequestID
	team      ident.TeamID
	routeName ident.RouteName
	route     settings.Route
	workspace ident.WorkspaceID
	chat      ident.ChatID
	hint      ident.UpstreamID
	priority  ident.Priority
	key       ident.IdempotencyKey
	// repeat is set if the caller says that an earlier request with the same
	// key may have run.
	repeat   bool
	body     []byte
	deadline time.Time
	events   bool
}

// readRequest reads and validates a request of a caller. Its error is a
// *result.Error. Nothing has been forwarded at this point.
func (server *Server) readRequest(writer http.ResponseWriter, request *http.Request, team ident.TeamID, routeName ident.RouteName) (*incoming, error) {
	now := server.now()
	accepted := &incoming{id: ident.NewRequestID(), team: team, routeName: routeName}
	subtree, err := server.subtree(team)
	if err != nil {
		return nil, err
	}
	route, found := subtree.Routes[routeName]
	if !found {
		return nil, result.Errorf(result.UnknownRoute, "team %q, route %q", team, routeName)
	}
	accepted.route = route
	if err := accepted.readHeaders(request.Header, subtree); err != nil {
		return nil, err
	}
	if err := server.readAffinity(request.Header, accepted); err != nil {
		return nil, err
	}
	timeout, err := timeoutOf(request.Header, route)
	if err != nil {
		return nil, err
	}
	accepted.deadline = now.Add(timeout)
	accepted.body, err = readBody(writer, request, route)
	if code := bodylimit.Refusal(err); code != result.OK {
		return nil, &result.Error{Code: code, RetryAt: server.now().Add(wait.Jitter(defaultRetryAfter))}
	}
	if err != nil {
		return nil, err
	}
	return accepted, checkBody(accepted.body, route)
}

func (server *Server) subtree(team ident.TeamID) (*settings.Subtree, error) {
	view := server.View()
	if view == nil || view.Teams() == 0 {
		return nil, &result.Error{Code: result.NotReady, RetryAt: server.now().Add(defaultRetryAfter)}
	}
	subtree := view.Team(team)
	if subtree == nil {
		return nil, result.Errorf(result.UnknownRoute, "team %q", team)
	}
	return subtree, nil
}

func (accepted *incoming) readHeaders(header http.Header, subtree *settings.Subtree) error {
	accepted.workspace = ident.WorkspaceID(header.Get(HeaderWorkspace))
	if _, found := subtree.Workspaces[accepted.workspace]; !found {
		return result.Errorf(result.UnknownWorkspace, "%s %q", HeaderWorkspace, accepted.workspace)
	}
	accepted.chat = ident.ChatID(header.Get(HeaderChat))
	if accepted.chat != "" && !ident.Valid(accepted.chat) {
		return invalidHeader(HeaderChat)
	}
	accepted.key = ident.IdempotencyKey(header.Get(HeaderKey))
	if accepted.key != "" && !ident.Valid(accepted.key) {
		return invalidHeader(HeaderKey)
	}
	if accepted.key == "" && !accepted.route.Retryable() {
		return result.Errorf(result.MissingIdempotencyKey, "route %q", accepted.routeName)
	}
	accepted.repeat = header.Get(HeaderRepeat) == "true"
	accepted.events = strings.Contains(header.Get("Accept"), "text/event-stream")
	return accepted.readPriority(header, subtree)
}

func invalidHeader(name string) error {
	return result.Errorf(result.InvalidHeader, "%s: want 1 to %d of the characters A-Z a-z 0-9 . _ - : @", name, ident.MaxLength)
}

func (accepted *incoming) readPriority(header http.Header, subtree *settings.Subtree) error {
	accepted.priority = accepted.route.Priority
	requested := ident.Priority(header.Get(HeaderPriority))
	if requested == "" {
		return nil
	}
	if _, found := subtree.Priorities[requested]; !found {
		return result.Errorf(result.InvalidHeader, "%s: the team has no priority %q", HeaderPriority, requested)
	}
	accepted.priority = requested
	return nil
}

func (server *Server) readAffinity(header http.Header, accepted *incoming) error {
	token := header.Get(HeaderAffinity)
	if token == "" {
		return nil
	}
	hint, err := server.tokens().open(accepted.workspace, accepted.chat, token)
	if err != nil {
		return err
	}
	if !accepted.route.IgnoreHint {
		accepted.hint = hint
	}
	return nil
}

// timeoutOf returns the time that the request may take: the lower one of the
// caller's and the route's limits.
func timeoutOf(header http.Header, route settings.Route) (time.Duration, error) {
	limit := defaultTimeout
	if route.TimeoutMs > 0 {
		limit = time.Duration(route.TimeoutMs) * time.Millisecond
	}
	text := header.Get(HeaderTimeoutMs)
	if text == "" {
		return limit, nil
	}
	requestedMs, err := strconv.ParseInt(text, 10, 32)
	if err != nil || requestedMs < 1 {
		return 0, result.Errorf(result.InvalidHeader, "%s %q: want 1 or more milliseconds", HeaderTimeoutMs, text)
	}
	return min(limit, time.Duration(requestedMs)*time.Millisecond), nil
}

func readBody(writer http.ResponseWriter, request *http.Request, route settings.Route) ([]byte, error) {
	limit := defaultMaxBodyBytes
	if route.MaxBodyBytes > 0 {
		limit = route.MaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.Errorf(result.BodyTooLarge, "the route allows %d bytes", limit)
	}
	if bodylimit.Refusal(err) != result.OK {
		return nil, err
	}
	if err != nil {
		return nil, result.Errorf(result.MalformedBody, "read the body: %v", err)
	}
	return body, nil
}

// checkBody checks that body is one JSON value, and a valid prompt if the route is
// that of a model.
func checkBody(body []byte, route settings.Route) error {
	if route.Service != "" {
		if !json.Valid(body) {
			return result.Errorf(result.MalformedBody, "want one JSON value")
		}
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var prompt upstream.Prompt
	if err := decoder.Decode(&prompt); err != nil {
		return result.Errorf(result.MalformedBody, "want {\"Text\":...,\"MaxTokens\":...}: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return result.Errorf(result.MalformedBody, "want one JSON value with nothing after it")
	}
	if err := validate.Struct(prompt); err != nil {
		return result.Errorf(result.MalformedBody, "want Text, and MaxTokens from 1 to 65536: %v", err)
	}
	return nil
}
