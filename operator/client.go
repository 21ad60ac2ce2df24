package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// clientTimeout bounds one request. It exceeds commitTimeout, which the router
	// may spend on a commit.
	clientTimeout = commitTimeout + 2*time.Second
	// maxClientAttempts is how often a change is sent if its outcome is unknown or
	// the platform is unavailable.
	maxClientAttempts = 4
	// clientRetryDelay is the time between two attempts.
	clientRetryDelay = time.Second
)

// Client calls the operator API of a router on behalf of one team.
type Client struct {
	// Server is the address of the router's operator API, IP:port.
	Server string
	Team   ident.TeamID
	// Token is the team's credential.
	Token  string
	Author string
	Reason string
	// Pause waits between two attempts at a change; nil means a fixed delay. An
	// error ends the attempts.
	Pause func(ctx context.Context) error
}

// ConflictError reports that another change was accepted first. Present holds the
// current values of the paths that the rejected change names.
type ConflictError struct {
	Problem *result.Error
	Present Listing
}

// Error returns the text of the router's error response.
func (e *ConflictError) Error() string { return e.Problem.Error() }

// Unwrap returns Problem, so that result.CodeOf finds its code.
func (e *ConflictError) Unwrap() error { return e.Problem }

// List returns the settings of the team that are in force at the router. An empty
// kind means all kinds.
func (client *Client) List(ctx context.Context, kind settings.Kind) (Listing, error) {
	path := client.teamPath()
	if kind != "" {
		path += "/" + url.PathEscape(string(kind))
	}
	var list Listing
	return list, client.send(ctx, http.MethodGet, path, nil, nil, &list)
}

// ListAccepted returns the settings of the team in the platform's table. The next
// change must be based on their revision.
func (client *Client) ListAccepted(ctx context.Context) (Listing, error) {
	var list Listing
	return list, client.send(ctx, http.MethodGet, client.teamPath()+"?Accepted=true", nil, nil, &list)
}

// Get returns one setting that is in force at the router. A missing setting is an
// error with code PathNotFound.
func (client *Client) Get(ctx context.Context, kind settings.Kind, name string) (json.RawMessage, error) {
	path := client.teamPath() + "/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
	var value json.RawMessage
	return value, client.send(ctx, http.MethodGet, path, nil, nil, &value)
}

// Apply commits values as one change based on revision base. A change whose
// response was lost is sent again under the same ID, so it is applied only once.
// A null value deletes its path.
func (client *Client) Apply(ctx context.Context, base ident.Revision, values map[settings.Path]json.RawMessage) (Accepted, error) {
	return client.commit(ctx, "/v1/settings/apply", base, Apply{Team: client.Team, Values: values})
}

// Undo commits the reverse of the change accepted as revision, based on revision
// base. It retries as Apply does.
func (client *Client) Undo(ctx context.Context, base, revision ident.Revision) (Accepted, error) {
	return client.commit(ctx, "/v1/settings/undo", base, Undo{Team: client.Team, Revision: revision})
}

// PreviewApply returns the differences that Apply would make to the stored
// settings.
func (client *Client) PreviewApply(ctx context.Context, values map[settings.Path]json.RawMessage) (Preview, error) {
	return client.preview(ctx, "/v1/settings/apply", Apply{Team: client.Team, Values: values})
}

// PreviewUndo returns the differences that Undo would make to the stored
// settings.
func (client *Client) PreviewUndo(ctx context.Context, revision ident.Revision) (Preview, error) {
	return client.preview(ctx, "/v1/settings/undo", Undo{Team: client.Team, Revision: revision})
}

// History returns at most limit accepted changes, oldest first: those after the
// revision after, or the latest ones if after is negative.
func (client *Client) History(ctx context.Context, after int64, limit int) ([]settings.Entry, error) {
	query := url.Values{"Limit": {fmt.Sprint(limit)}}
	if after >= 0 {
		query.Set("After", fmt.Sprint(after))
	}
	var history History
	path := "/v1/settings/history/Teams/" + url.PathEscape(string(client.Team)) + "?" + query.Encode()
	return history.Entries, client.send(ctx, http.MethodGet, path, nil, nil, &history)
}

func (client *Client) teamPath() string {
	return "/v1/settings/Teams/" + url.PathEscape(string(client.Team))
}

func (client *Client) preview(ctx context.Context, path string, body any) (Preview, error) {
	var preview Preview
	return preview, client.send(ctx, http.MethodPost, path+"?DryRun=true", body, nil, &preview)
}

func (client *Client) commit(ctx context.Context, path string, base ident.Revision, body any) (Accepted, error) {
	header := http.Header{}
	header.Set("If-Match", etag(base))
	header.Set(HeaderChangeID, uuid.NewString())
	header.Set(HeaderAuthor, client.Author)
	header.Set(HeaderReason, client.Reason)
	maybeAccepted := false
	for attempt := 1; ; attempt++ {
		var accepted Accepted
		err := client.send(ctx, http.MethodPost, path, body, header, &accepted)
		problem := result.From(err, result.CommitUnknown)
		switch {
		case err == nil:
			return accepted, nil
		case problem.Code == result.CommitUnknown:
			maybeAccepted = true
		case problem.Code != result.PlatformUnavailable:
			return accepted, err
		}
		if attempt == maxClientAttempts || client.waitBeforeRetry(ctx) != nil {
			return accepted, finalError(err, maybeAccepted)
		}
	}
}

// finalError returns err, or CommitUnknown if the change may have been accepted
// by an earlier attempt.
func finalError(err error, maybeAccepted bool) error {
	if maybeAccepted {
		return result.Errorf(result.CommitUnknown, "%v", err)
	}
	return err
}

func (client *Client) waitBeforeRetry(ctx context.Context) error {
	if client.Pause != nil {
		return client.Pause(ctx)
	}
	wait.Sleep(ctx, clientRetryDelay)
	return ctx.Err()
}

// maxResponseBytes limits the length of a router's response.
const maxResponseBytes = 64 << 20

func (client *Client) send(ctx context.Context, method, path string, body any, header http.Header, target any) error {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	request, err := client.request(ctx, method, path, body, header)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "router at %s", client.Server)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return errors.Wrapf(err, "router at %s", client.Server)
	}
	if len(content) > maxResponseBytes {
		return errors.Newf("router at %s: response longer than %d bytes", client.Server, maxResponseBytes)
	}
	if response.StatusCode != http.StatusOK {
		return decodeRefusal(response.StatusCode, content)
	}
	return errors.Wrap(json.Unmarshal(content, target), "decode response of router")
}

func (client *Client) request(ctx context.Context, method, path string, body any, header http.Header) (*http.Request, error) {
	var content bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&content).Encode(body); err != nil {
			return nil, result.Errorf(result.MalformedBody, "%v", err)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+client.Server+path, &content)
	if err != nil {
		return nil, result.Errorf(result.InvalidHeader, "%v", err)
	}
	if header != nil {
		request.Header = header.Clone()
	}
	request.Header.Set("Authorization", "Bearer "+client.Token)
	return request, nil
}

// decodeRefusal returns the error that the body of an error response describes.
func decodeRefusal(status int, content []byte) error {
	var refusal Refusal
	if json.Unmarshal(content, &refusal) != nil || refusal.Number == result.OK {
		return errors.Newf("router responded with status %d", status)
	}
	problem := refusal.Err(time.Now())
	if refusal.Present != nil {
		return &ConflictError{Problem: problem, Present: *refusal.Present}
	}
	return problem
}
