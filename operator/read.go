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

func teamOf(request iris.Context) ident.TeamID {
	return ident.TeamID(request.Params().Get("team"))
}

func addressOf(request iris.Context) (settings.Address, error) {
	address := settings.Address{
		Team: teamOf(request),
		Kind: settings.Kind(request.Params().Get("kind")),
		Name: request.Params().Get("name"),
	}
	return settings.ParsePath(address.Path())
}

// getTeam answers with all settings of a team: those in force here, or with
// ?Accepted=true those in the table, which may come into force only now.
func (operator *Operator) getTeam(request iris.Context) {
	team := teamOf(request)
	if !operator.authorize(request, team, false) {
		return
	}
	subtree := operator.View().Team(team)
	if request.URLParam("Accepted") == "true" {
		var err error
		subtree, err = operator.present(request.Request().Context(), team)
		if err != nil {
			operator.refuse(request, err)
			return
		}
	}
	list := listing(subtree, team, "")
	operator.answer(request, http.StatusOK, list.Revision, list)
}

// getKind answers with the settings of one kind.
func (operator *Operator) getKind(request iris.Context) {
	team := teamOf(request)
	if !operator.authorize(request, team, false) {
		return
	}
	kind := settings.Kind(request.Params().Get("kind"))
	if !slices.Contains(settings.Kinds(), kind) {
		operator.refuse(request, result.Errorf(result.PathNotFound, "kind %q: want one of %v", kind, settings.Kinds()))
		return
	}
	list := listing(operator.View().Team(team), team, kind)
	operator.answer(request, http.StatusOK, list.Revision, list)
}

// getOne answers with one setting.
func (operator *Operator) getOne(request iris.Context) {
	if !operator.authorize(request, teamOf(request), false) {
		return
	}
	address, err := addressOf(request)
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
	operator.answer(request, http.StatusOK, subtree.Revision, value)
}

// history answers with accepted changes, oldest first: those after ?After, at
// most ?Limit; without ?After the latest.
func (operator *Operator) history(request iris.Context) {
	team := teamOf(request)
	if !operator.authorize(request, team, false) {
		return
	}
	limit, err := numberOf(request, "Limit", 20)
	if err != nil {
		operator.refuse(request, err)
		return
	}
	limit = min(max(limit, 1), maxHistory)
	revision := operator.View().Revision(team)
	latest := uint64(revision) - min(uint64(revision), limit)
	after, err := numberOf(request, "After", latest)
	if err != nil {
		operator.refuse(request, err)
		return
	}
	entries, err := operator.History(request.Request().Context(), team, ident.Revision(after), int(limit))
	if err != nil {
		operator.refuse(request, err)
		return
	}
	operator.answer(request, http.StatusOK, revision, History{Entries: entries})
}

func numberOf(request iris.Context, name string, otherwise uint64) (uint64, error) {
	text := request.URLParam(name)
	if text == "" {
		return otherwise, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, result.Errorf(result.InvalidHeader, "%s is %q: want a whole number", name, text)
	}
	return number, nil
}
