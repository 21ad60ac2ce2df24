package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
	"github.com/hickoryhead/hickoryhead/settingstable"
)

// meanRetryAfter is the mean retry-after time sent when the platform's store is
// unavailable or the outcome of a commit is unknown.
const meanRetryAfter = 2 * time.Second

func (operator *Operator) respond(request iris.Context, status int, revision ident.Revision, body any) {
	request.Header("ETag", etag(revision))
	request.StatusCode(status)
	if err := request.JSON(body); err != nil {
		operator.logger().Debug("Writing the response failed.", "error", err)
	}
}

// refuse writes err as an error response. An error without a result code becomes
// PlatformUnavailable.
func (operator *Operator) refuse(request iris.Context, err error) {
	operator.refuseWith(request, err, nil)
}

// refuseWith is refuse with the current settings, if not nil, in the response.
func (operator *Operator) refuseWith(request iris.Context, err error, current *Listing) {
	refusal := *result.From(err, result.PlatformUnavailable)
	now := operator.now()
	if refusal.Code == result.PlatformUnavailable || refusal.Code == result.CommitUnknown {
		refusal.RetryAt = now.Add(meanRetryAfter/2 + rand.N(meanRetryAfter))
		request.Header("Retry-After", strconv.Itoa(1+int(refusal.RetryAt.Sub(now)/time.Second)))
	}
	operator.Metrics.CountRefusal(refusal.Code)
	operator.logger().Info("Refused.", "method", request.Method(), "path", request.Path(), "code", refusal.Code.String(), "detail", refusal.Detail)
	request.Header(HeaderResult, refusal.Code.String())
	request.StatusCode(refusal.Code.Status())
	if err := request.JSON(Refusal{Problem: refusal.Problem(now), Present: current}); err != nil {
		operator.logger().Debug("Writing the error response failed.", "error", err)
	}
}

// authorize reports whether the request carries a credential of team, and
// refuses the request otherwise. Changes always check the credentials in the
// store; while it is unavailable, reads use the ones read last.
func (operator *Operator) authorize(request iris.Context, team ident.TeamID, write bool) bool {
	token, found := strings.CutPrefix(request.GetHeader("Authorization"), "Bearer ")
	if !found || token == "" || !ident.Valid(team) {
		operator.refuse(request, result.Errorf(result.Unauthenticated, "want the header Authorization: Bearer <credential of the team>"))
		return false
	}
	credentials, err := operator.teamRow(request.Request().Context(), team, write)
	if err != nil {
		operator.refuse(request, err)
		return false
	}
	if !credentials.Accepts(token) {
		operator.refuse(request, result.Errorf(result.Unauthenticated, "the credential does not belong to team %s", team))
		return false
	}
	return true
}

// teamRow returns the row of a team from the store. If the store cannot be read
// and write is false, it returns the cached row.
func (operator *Operator) teamRow(ctx context.Context, team ident.TeamID, write bool) (settingstable.Team, error) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	row, err := operator.Team(ctx, team)
	operator.mu.Lock()
	defer operator.mu.Unlock()
	if err != nil {
		cached, found := operator.teamCache[team]
		if write || !found {
			return settingstable.Team{}, err
		}
		return cached, nil
	}
	if len(row.CredentialSHA256) == 0 {
		delete(operator.teamCache, team)
		return row, nil
	}
	if operator.teamCache == nil {
		operator.teamCache = make(map[ident.TeamID]settingstable.Team)
	}
	operator.teamCache[team] = row
	return row, nil
}

// readBody decodes the JSON request body into body, rejecting unknown fields.
func readBody(request iris.Context, body any) error {
	raw, err := readRaw(request)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(strings.NewReader(string(raw)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		return result.Errorf(result.MalformedBody, "%v", err)
	}
	return nil
}

// readRaw reads the request body, which may have at most maxBodyBytes.
func readRaw(request iris.Context) (json.RawMessage, error) {
	limited := http.MaxBytesReader(request.ResponseWriter(), request.Request().Body, maxBodyBytes)
	raw, err := io.ReadAll(limited)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.Errorf(result.SettingsLimit, "the body is longer than %d bytes", maxBodyBytes)
	}
	if err != nil {
		return nil, result.Errorf(result.MalformedBody, "%v", err)
	}
	return raw, nil
}

func etag(revision ident.Revision) string {
	return fmt.Sprintf("%q", strconv.FormatUint(uint64(revision), 10))
}

// ifMatchRevision returns the revision in the header If-Match and whether the
// header is present.
func ifMatchRevision(request iris.Context) (ident.Revision, bool, error) {
	header := request.GetHeader("If-Match")
	if header == "" {
		return 0, false, nil
	}
	revision, err := strconv.ParseUint(strings.Trim(header, `"`), 10, 64)
	if err != nil {
		return 0, false, result.Errorf(result.InvalidHeader, "If-Match is %q: want the ETag of the team's settings, such as \"12\"", header)
	}
	return ident.Revision(revision), true, nil
}

// newListing returns the settings of one kind, or of all kinds if kind is empty.
// subtree may be nil.
func newListing(subtree *settings.Subtree, team ident.TeamID, kind settings.Kind) Listing {
	list := Listing{Team: team, Values: make(map[settings.Path]json.RawMessage)}
	if subtree == nil {
		return list
	}
	list.Revision = subtree.Revision
	for path, value := range subtree.Values() {
		if kind == "" || strings.HasPrefix(string(path), "/Teams/"+string(team)+"/"+string(kind)+"/") {
			list.Values[path] = value
		}
	}
	return list
}
