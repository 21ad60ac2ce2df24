package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
	"github.com/hickoryhead/hickoryhead/settingstable"
)

// put sets one setting.
func (operator *Operator) put(request iris.Context) {
	if !operator.authorize(request, teamOf(request), true) {
		return
	}
	address, err := addressOf(request)
	if err != nil {
		operator.refuse(request, err)
		return
	}
	raw, err := readRaw(request)
	if err != nil {
		operator.refuse(request, err)
		return
	}
	if len(raw) == 0 {
		operator.refuse(request, result.Errorf(result.MalformedBody, "the body is empty: want the JSON value of the setting"))
		return
	}
	operator.change(request, address.Team, map[settings.Path]json.RawMessage{address.Path(): raw})
}

// remove deletes one setting.
func (operator *Operator) remove(request iris.Context) {
	if !operator.authorize(request, teamOf(request), true) {
		return
	}
	address, err := addressOf(request)
	if err != nil {
		operator.refuse(request, err)
		return
	}
	operator.change(request, address.Team, map[settings.Path]json.RawMessage{address.Path(): nil})
}

// apply makes many settings one change.
func (operator *Operator) apply(request iris.Context) {
	var body Apply
	if err := readBody(request, &body); err != nil {
		operator.refuse(request, err)
		return
	}
	if !operator.authorize(request, body.Team, true) {
		return
	}
	operator.change(request, body.Team, body.Values)
}

// undo makes the reverse of an accepted change a new change.
func (operator *Operator) undo(request iris.Context) {
	var body Undo
	if err := readBody(request, &body); err != nil {
		operator.refuse(request, err)
		return
	}
	if !operator.authorize(request, body.Team, true) {
		return
	}
	ctx := request.Request().Context()
	entry, err := operator.Entry(ctx, body.Team, body.Revision)
	if err != nil {
		operator.refuse(request, err)
		return
	}
	present, err := operator.present(ctx, body.Team)
	if err != nil {
		operator.refuse(request, err)
		return
	}
	values := settings.Undo(entry)
	if err := settings.CheckUndo(present, entry); err != nil && !operator.undone(request, body.Team, values) {
		operator.refuseWith(request, err, presentListing(present, body.Team, values))
		return
	}
	operator.change(request, body.Team, values)
}

// undone reports whether this very undo was accepted before, so that the answer
// to it may be given again.
func (operator *Operator) undone(request iris.Context, team ident.TeamID, values map[settings.Path]json.RawMessage) bool {
	id := request.GetHeader(HeaderChangeID)
	if id == "" {
		return false
	}
	_, found, err := operator.Find(request.Request().Context(), settings.Change{ID: id, Team: team, Values: values})
	return found && err == nil
}

// change commits values, or shows what they would do.
func (operator *Operator) change(request iris.Context, team ident.TeamID, values map[settings.Path]json.RawMessage) {
	revision, named, err := base(request)
	if err != nil {
		operator.refuse(request, err)
		return
	}
	change := settings.Change{
		ID:     request.GetHeader(HeaderChangeID),
		Team:   team,
		Base:   revision,
		Author: request.GetHeader(HeaderAuthor),
		Reason: request.GetHeader(HeaderReason),
		Values: values,
	}
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	request.Header(HeaderChangeID, change.ID)
	if request.URLParam("DryRun") == "true" {
		operator.preview(request, change, named)
		return
	}
	if !named {
		operator.refuse(request, result.Errorf(result.InvalidHeader, "want the header If-Match with the ETag of the team's settings that the change builds on; \"0\" for a team without settings"))
		return
	}
	operator.commit(request, change)
}

func (operator *Operator) commit(request iris.Context, change settings.Change) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(request.Request().Context()), acceptTimeout)
	defer cancel()
	accepted, err := operator.Accept(ctx, change)
	if err != nil {
		operator.refuseWith(request, err, operator.raced(ctx, err, change))
		return
	}
	operator.inForce(accepted)
	operator.logger().Info("Accepted a change.", "team", change.Team, "revision", accepted.Revision, "change", change.ID, "author", change.Author)
	operator.answer(request, http.StatusOK, accepted.Revision, Accepted{
		Team:     change.Team,
		Revision: accepted.Revision,
		ChangeID: change.ID,
		Repeated: accepted.Repeated,
	})
}

// inForce announces what was accepted, and now and then stores a snapshot.
func (operator *Operator) inForce(accepted settingstable.Accepted) {
	if accepted.Repeated {
		operator.Metrics.CountEvent(eventRepeated)
	} else {
		operator.Metrics.CountEvent(eventAccepted)
	}
	if accepted.Subtree == nil {
		return
	}
	operator.Accepted(accepted.Subtree)
	if !accepted.Repeated {
		operator.keepUp(accepted.Subtree)
	}
}

// keepUp starts what is due at the revision of an accepted subtree.
func (operator *Operator) keepUp(subtree *settings.Subtree) {
	if operator.Snapshot != nil && subtree.Revision%settingstable.SnapshotEvery == 0 {
		view := operator.View()
		snapshot := &upkeep{operator: operator, name: "snapshot", event: eventSnapshot, act: func(ctx context.Context) error {
			return operator.Snapshot(ctx, view)
		}}
		go snapshot.run()
	}
	if operator.Archive != nil && subtree.Revision%settingstable.ArchiveEvery == 0 {
		archive := &upkeep{operator: operator, name: "archive", event: eventArchive, act: func(ctx context.Context) error {
			return operator.Archive(ctx, subtree.Team, subtree.Revision)
		}}
		go archive.run()
	}
}

// upkeep is work on the store that an accepted change made due.
type upkeep struct {
	operator *Operator
	name     string
	event    string
	act      func(ctx context.Context) error
}

func (upkeep *upkeep) run() {
	ctx, cancel := context.WithTimeout(context.Background(), upkeepTimeout)
	defer cancel()
	if err := upkeep.act(ctx); err != nil {
		upkeep.operator.logger().Warn("Upkeep of the store failed.", "of", upkeep.name, "error", err)
		return
	}
	upkeep.operator.Metrics.CountEvent(upkeep.event)
}

// raced returns the paths of a change that lost a race as they are now.
func (operator *Operator) raced(ctx context.Context, err error, change settings.Change) *Listing {
	if result.CodeOf(err) != result.RevisionConflict {
		return nil
	}
	present, loadErr := operator.present(ctx, change.Team)
	if loadErr != nil {
		return nil
	}
	return presentListing(present, change.Team, change.Values)
}

func presentListing(present *settings.Subtree, team ident.TeamID, paths map[settings.Path]json.RawMessage) *Listing {
	all := listing(present, team, "")
	for path := range all.Values {
		if _, asked := paths[path]; !asked {
			delete(all.Values, path)
		}
	}
	return &all
}

// present returns the settings of a team in the store, nil where it has none.
func (operator *Operator) present(ctx context.Context, team ident.TeamID) (*settings.Subtree, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	subtrees, err := operator.Load(ctx, team)
	if err != nil || len(subtrees) == 0 {
		return nil, err
	}
	return subtrees[0], nil
}

// preview checks a change against the store and shows what it would do. Without
// If-Match it builds on what is there now.
func (operator *Operator) preview(request iris.Context, change settings.Change, named bool) {
	present, err := operator.present(request.Request().Context(), change.Team)
	if err != nil {
		operator.refuse(request, err)
		return
	}
	if !named && present != nil {
		change.Base = present.Revision
	}
	next, err := settings.Apply(present, change)
	if err != nil {
		operator.refuse(request, err)
		return
	}
	operator.answer(request, http.StatusOK, change.Base, Preview{
		Team:        change.Team,
		Revision:    change.Base,
		Differences: settings.Diff(present, next),
	})
}
