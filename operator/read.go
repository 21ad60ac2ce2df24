package operator

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/kataras/iris/v12"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
)

func teamParam(request iris.Context) ident.TeamID {
	return ident.TeamID(request.Params().Get("team"))
}

func addressParam(request iris.Context) (settings.Address, error) {
	address := settings.Address{
		Team: teamParam(request),
		Kind: settings.Kind(request.Params().Get("kind")),
		Name: request.Params().Get("name"),
	}
	return settings.ParsePath(address.Path())
}

// getTeam returns all settings of a team: those in force at this router or, with
// ?Accepted=true, those in the platform's table, which may not be in force here
// yet.
func (operator *Operator) getTeam(request iris.Context) {
	team := teamParam(request)
	if !operator.authorize(request, team, false) {
		return
	}
	subtree := operator.View().Team(team)
	if request.URLParam("Accepted") == "true" {
		var err error
		subtree, err = operator.storedSubtree(request.Request().Context(), team)
		if err != nil {
			operator.refuse(request, err)
			return
		}
	}
	list := newListing(subtree, team, "")
	operator.respond(request, http.StatusOK, list.Revision, list)
}

// getKind returns the settings of one kind that are in force at this router.
func (operator *Operator) getKind(request iris.Context) {
	team := teamParam(request)
	if !operator.authorize(request, team, false) {
		return
	}
	kind := settings.Kind(request.Params().Get("kind"))
	if !slices.Contains(settings.Kinds(), kind) {
		operator.refuse(request, result.Errorf(result.PathNotFound, "kind %q: want one of %v", kind, settings.Kinds()))
		return
	}
	list := newListing(operator.View().Team(team), team, kind)
	operator.respond(request, http.StatusOK, list.Revision, list)
}

// getSetting returns one setting that is in force at this router.
func (operator *Operator) getSetting(request iris.Context) {
	if !operator.authorize(request, teamParam(request), false) {
		return
	}
	address, err := addressParam(request)
	if err != nil {
		operator.refuse(request, err)
		return
	}
	subtree := operator.View().Team(address.Team)
	value := subtree.Value(address)
	if value == nil {
		operator.refuse(request, result.Errorf(result.PathNotFound, "%s", address.Path()))
		return
	}
	operator.respond(request, http.StatusOK, subtree.Revision, value)
}

// history returns at most ?Limit accepted changes, oldest first: those after the
// revision ?After, or the latest ones if ?After is missing.
func (operator *Operator) history(request iris.Context) {
	team := teamParam(request)
	if !operator.authorize(request, team, false) {
		return
	}
	limit, err := numberParam(request, "Limit", 20)
	if err != nil {
		operator.refuse(request, err)
		return
	}
	limit = min(max(limit, 1), maxHistoryEntries)
	revision := operator.View().Revision(team)
	latest := uint64(revision) - min(uint64(revision), limit)
	after, err := numberParam(request, "After", latest)
	if err != nil {
		operator.refuse(request, err)
		return
	}
	entries, err := operator.History(request.Request().Context(), team, ident.Revision(after), int(limit))
	if err != nil {
		operator.refuse(request, err)
		return
	}
	operator.respond(request, http.StatusOK, revision, History{Entries: entries})
}

// numberParam returns a query parameter, or defaultValue if it is missing.
func numberParam(request iris.Context, name string, defaultValue uint64) (uint64, error) {
	text := request.URLParam(name)
	if text == "" {
		return defaultValue, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, result.Errorf(result.InvalidHeader, "%s is %q: want a whole number", name, text)
	}
	return number, nil
}
