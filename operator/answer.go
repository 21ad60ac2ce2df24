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

// retryAfter is the mean time after which an operator may come back when the
// platform failed.
const retryAfter = 2 * time.Second

func (operator *Operator) answer(request iris.Context, status int, revision ident.Revision, body any) {
	request.Header("ETag", etag(revision))
	request.StatusCode(status)
	if err := request.JSON(body); err != nil {
		operator.logger().Debug("Answer not written.", "error", err)
	}
}

func (operator *Operator) refuse(request iris.Context, err error) {
	operator.refuseWith(request, err, nil)
}

func (operator *Operator) refuseWith(request iris.Context, err error, present *Listing) {
	refusal := *result.From(err, result.PlatformUnavailable)
	now := operator.now()
	if refusal.Code == result.PlatformUnavailable || refusal.Code == result.CommitUnknown {
		refusal.RetryAt = now.Add(retryAfter/2 + rand.N(retryAfter))
		request.Header("Retry-After", strconv.Itoa(1+int(refusal.RetryAt.Sub(now)/time.Second)))
	}
	operator.Metrics.CountRefusal(refusal.Code)
	operator.logger().Info("Refused.", "method", request.Method(), "path", request.Path(), "code", refusal.Code.String(), "detail", refusal.Detail)
	request.Header(HeaderResult, refusal.Code.String())
	request.StatusCode(refusal.Code.Status())
	if err := request.JSON(Refusal{Problem: refusal.Problem(now), Present: present}); err != nil {
		operator.logger().Debug("Refusal not written.", "error", err)
	}
}

// authorize returns whether the request carries a credential of team, and
// refuses it otherwise. A change reads the credentials from the store. A read
// goes on with those read last while the store is down.
func (operator *Operator) authorize(request iris.Context, team ident.TeamID, write bool) bool {
	token, found := strings.CutPrefix(request.GetHeader("Authorization"), "Bearer ")
	if !found || token == "" || !ident.Valid(team) {
		operator.refuse(request, result.Errorf(result.Unauthenticated, "want the header Authorization: Bearer <credential of the team>"))
		return false
	}
	credentials, err := operator.credentials(request.Request().Context(), team, write)
	if err != nil {
		operator.refuse(request, err)
		return false
	}
	if !credentials.Accepts(token) {
		operator.refuse(request, result.Errorf(result.Unauthenticated, "the credential is not one of team %s", team))
		return false
	}
	return true
}

func (operator *Operator) credentials(ctx context.Context, team ident.TeamID, write bool) (settingstable.Team, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	found, err := operator.Team(ctx, team)
	operator.mu.Lock()
	defer operator.mu.Unlock()
	if err != nil {
		known, remembered := operator.teams[team]
		if write || !remembered {
			return settingstable.Team{}, err
		}
		return known, nil
	}
	if len(found.CredentialSHA256) == 0 {
		delete(operator.teams, team)
		return found, nil
	}
	if operator.teams == nil {
		operator.teams = make(map[ident.TeamID]settingstable.Team)
	}
	operator.teams[team] = found
	return found, nil
}

// readBody reads a JSON body strictly into body.
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

// base returns the revision that the header If-Match names.
func base(request iris.Context) (ident.Revision, bool, error) {
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

func listing(subtree *settings.Subtree, team ident.TeamID, kind settings.Kind) Listing {
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
