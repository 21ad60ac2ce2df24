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
	// clientTimeout bounds one request, which a router may spend acceptTimeout on.
	clientTimeout = acceptTimeout + 2*time.Second
	// clientTries is the number of times that a change is sent whose answer was
	// lost or that the platform could not take.
	clientTries = 4
	// clientPause is the time between two of them.
	clientPause = time.Second
)

// Client reaches the operators' interface of a router for one team.
type Client struct {
	// Server is the router's operators' address, IP:port.
	Server string
	Team   ident.TeamID
	// Token is the team's credential.
	Token  string
	Author string
	Reason string
	// Pause waits between two tries of a change; nil means a timer.
	Pause func(ctx context.Context) error
}

// RacedError is the error of a change that lost a race. Present holds its paths
// as they are now.
type RacedError struct {
	Problem *result.Error
	Present Listing
}

// Error returns the refusal.
func (e *RacedError) Error() string { return e.Problem.Error() }

// Unwrap returns the refusal.
func (e *RacedError) Unwrap() error { return e.Problem }

// List returns the settings of the team in force at the router; an empty kind means all kinds.
func (client *Client) List(ctx context.Context, kind settings.Kind) (Listing, error) {
	path := client.teamPath()
	if kind != "" {
		path += "/" + url.PathEscape(string(kind))
	}
	var list Listing
	return list, client.send(ctx, http.MethodGet, path, nil, nil, &list)
}

// ListAccepted returns the settings of the team in the table, on which the next
// change has to build.
func (client *Client) ListAccepted(ctx context.Context) (Listing, error) {
	var list Listing
	return list, client.send(ctx, http.MethodGet, client.teamPath()+"?Accepted=true", nil, nil, &list)
}

// Get returns one setting.
func (client *Client) Get(ctx context.Context, kind settings.Kind, name string) (json.RawMessage, error) {
	path := client.teamPath() + "/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
	var value json.RawMessage
	return value, client.send(ctx, http.MethodGet, path, nil, nil, &value)
}

// Apply commits values as one change on base. It sends the change again under
// the same ID where the answer was lost.
func (client *Client) Apply(ctx context.Context, base ident.Revision, values map[settings.Path]json.RawMessage) (Accepted, error) {
	return client.commit(ctx, "/v1/settings/apply", base, Apply{Team: client.Team, Values: values})
}

// Undo commits the reverse of an accepted change on base.
func (client *Client) Undo(ctx context.Context, base, revision ident.Revision) (Accepted, error) {
	return client.commit(ctx, "/v1/settings/undo", base, Undo{Team: client.Team, Revision: revision})
}

// PreviewApply returns what Apply would do now.
func (client *Client) PreviewApply(ctx context.Context, values map[settings.Path]json.RawMessage) (Preview, error) {
	return client.preview(ctx, "/v1/settings/apply", Apply{Team: client.Team, Values: values})
}

// PreviewUndo returns what Undo would do now.
func (client *Client) PreviewUndo(ctx context.Context, revision ident.Revision) (Preview, error) {
	return client.preview(ctx, "/v1/settings/undo", Undo{Team: client.Team, Revision: revision})
}

// History returns accepted changes, oldest first: at most limit after the
// revision after, or the latest where after is negative.
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
	unknown := false
	for try := 1; ; try++ {
		var accepted Accepted
		err := client.send(ctx, http.MethodPost, path, body, header, &accepted)
		code := result.From(err, result.CommitUnknown)
		switch {
		case err == nil:
			return accepted, nil
		case code.Code == result.CommitUnknown:
			unknown = true
		case code.Code != result.PlatformUnavailable:
			return accepted, err
		}
		if try == clientTries || client.pause(ctx) != nil {
			return accepted, outcomeOf(err, unknown)
		}
	}
}

// outcomeOf returns err, or CommitUnknown where an earlier try may have had the
// change accepted.
func outcomeOf(err error, unknown bool) error {
	if unknown {
		return result.Errorf(result.CommitUnknown, "%v", err)
	}
	return err
}

func (client *Client) pause(ctx context.Context) error {
	if client.Pause != nil {
		return client.Pause(ctx)
	}
	wait.Sleep(ctx, clientPause)
	return ctx.Err()
}

func (client *Client) send(ctx context.Context, method, path string, body any, header http.Header, into any) error {
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
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrapf(err, "router at %s", client.Server)
	}
	if response.StatusCode != http.StatusOK {
		return refusalOf(response.StatusCode, content)
	}
	return errors.Wrap(json.Unmarshal(content, into), "router's answer")
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

func refusalOf(status int, content []byte) error {
	var refusal Refusal
	if json.Unmarshal(content, &refusal) != nil || refusal.Number == result.OK {
		return errors.Newf("router status %d", status)
	}
	problem := refusal.Err(time.Now())
	if refusal.Present != nil {
		return &RacedError{Problem: problem, Present: *refusal.Present}
	}
	return problem
}
