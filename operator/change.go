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

// putSetting handles PUT of one setting.
func (operator *Operator) putSetting(request iris.Context) {
	if !operator.authorize(request, teamParam(request), true) {
		return
	}
	address, err := addressParam(request)
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
	operator.commitOrPreview(request, address.Team, map[settings.Path]json.RawMessage{address.Path(): raw})
}

// deleteSetting handles DELETE of one setting.
func (operator *Operator) deleteSetting(request iris.Context) {
	if !operator.authorize(request, teamParam(request), true) {
		return
	}
	address, err := addressParam(request)
	if err != nil {
		operator.refuse(request, err)
		return
	}
	operator.commitOrPreview(request, address.Team, map[settings.Path]json.RawMessage{address.Path(): nil})
}

// apply handles POST /v1/settings/apply, which changes several settings at once.
func (operator *Operator) apply(request iris.Context) {
	var body Apply
	if err := readBody(request, &body); err != nil {
		operator.refuse(request, err)
		return
	}
	if !operator.authorize(request, body.Team, true) {
		return
	}
	operator.commitOrPreview(request, body.Team, body.Values)
}

// undo handles POST /v1/settings/undo, which submits the reverse of an accepted
// change as a new change.
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
	current, err := operator.storedSubtree(ctx, body.Team)
	if err != nil {
		operator.refuse(request, err)
		return
	}
	values := settings.Undo(entry)
	if err := settings.CheckUndo(current, entry); err != nil && !operator.undoAccepted(request, body.Team, values) {
		operator.refuseWith(request, err, currentListing(current, body.Team, values))
		return
	}
	operator.commitOrPreview(request, body.Team, values)
}

// undoAccepted reports whether an undo with the same change ID was already
// accepted. A repeated request then gets the same response although the undo no
// longer applies.
func (operator *Operator) undoAccepted(request iris.Context, team ident.TeamID, values map[settings.Path]json.RawMessage) bool {
	id := request.GetHeader(HeaderChangeID)
	if id == "" {
		return false
	}
	_, found, err := operator.Find(request.Request().Context(), settings.Change{ID: id, Team: team, Values: values})
	return found && err == nil
}

// commitOrPreview commits values, or returns their effect for a dry run. A commit
// requires the header If-Match.
func (operator *Operator) commitOrPreview(request iris.Context, team ident.TeamID, values map[settings.Path]json.RawMessage) {
	revision, hasBase, err := ifMatchRevision(request)
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
		operator.preview(request, change, hasBase)
		return
	}
	if !hasBase {
		operator.refuse(request, result.Errorf(result.InvalidHeader, "want the header If-Match with the ETag of the team's settings that the change is based on; \"0\" for a team without settings"))
		return
	}
	operator.commit(request, change)
}

func (operator *Operator) commit(request iris.Context, change settings.Change) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(request.Request().Context()), commitTimeout)
	defer cancel()
	accepted, err := operator.Accept(ctx, change)
	if err != nil {
		operator.refuseWith(request, err, operator.conflictListing(ctx, err, change))
		return
	}
	operator.announce(accepted)
	operator.logger().Info("Change accepted.", "team", change.Team, "revision", accepted.Revision, "change", change.ID, "author", change.Author)
	operator.respond(request, http.StatusOK, accepted.Revision, Accepted{
		Team:     change.Team,
		Revision: accepted.Revision,
		ChangeID: change.ID,
		Repeated: accepted.Repeated,
	})
}

// announce counts an accepted change, puts its subtree into force and starts
// maintenance that is due. A change found by its ID may come without a subtree.
func (operator *Operator) announce(accepted settingstable.Accepted) {
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
		operator.startMaintenance(accepted.Subtree)
	}
}

// startMaintenance stores a snapshot or archives history if either is due at the
// revision of subtree. Both run in the background.
func (operator *Operator) startMaintenance(subtree *settings.Subtree) {
	if operator.Snapshot != nil && subtree.Revision%settingstable.SnapshotEvery == 0 {
		view := operator.View()
		snapshot := &maintenanceTask{operator: operator, name: "snapshot", event: eventSnapshot, do: func(ctx context.Context) error {
			return operator.Snapshot(ctx, view)
		}}
		go snapshot.run()
	}
	if operator.Archive != nil && subtree.Revision%settingstable.ArchiveEvery == 0 {
		archive := &maintenanceTask{operator: operator, name: "archive", event: eventArchive, do: func(ctx context.Context) error {
			return operator.Archive(ctx, subtree.Team, subtree.Revision)
		}}
		go archive.run()
	}
}

// maintenanceTask is a background task on the store.
type maintenanceTask struct {
	operator *Operator
	name     string
	event    string
	do       func(ctx context.Context) error
}

func (task *maintenanceTask) run() {
	ctx, cancel := context.WithTimeout(context.Background(), maintenanceTimeout)
	defer cancel()
	if err := task.do(ctx); err != nil {
		task.operator.logger().Warn("Store maintenance failed.", "of", task.name, "error", err)
		return
	}
	task.operator.Metrics.CountEvent(task.event)
}

// conflictListing returns the current values of the paths of a change that
// failed with RevisionConflict. It returns nil for other errors, or if the
// settings cannot be read.
func (operator *Operator) conflictListing(ctx context.Context, err error, change settings.Change) *Listing {
	if result.CodeOf(err) != result.RevisionConflict {
		return nil
	}
	current, loadErr := operator.storedSubtree(ctx, change.Team)
	if loadErr != nil {
		return nil
	}
	return currentListing(current, change.Team, change.Values)
}

// currentListing returns the settings of subtree at the given paths.
func currentListing(subtree *settings.Subtree, team ident.TeamID, paths map[settings.Path]json.RawMessage) *Listing {
	list := newListing(subtree, team, "")
	for path := range list.Values {
		if _, found := paths[path]; !found {
			delete(list.Values, path)
		}
	}
	return &list
}

// storedSubtree returns the settings of a team in the store, or nil if it has
// none.
func (operator *Operator) storedSubtree(ctx context.Context, team ident.TeamID) (*settings.Subtree, error) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	subtrees, err := operator.Load(ctx, team)
	if err != nil || len(subtrees) == 0 {
		return nil, err
	}
	return subtrees[0], nil
}

// preview validates a change against the stored settings and returns the
// differences that it would make. Without If-Match (hasBase is false), the change
// is based on the stored revision.
func (operator *Operator) preview(request iris.Context, change settings.Change, hasBase bool) {
	stored, err := operator.storedSubtree(request.Request().Context(), change.Team)
	if err != nil {
		operator.refuse(request, err)
		return
	}
	if !hasBase && stored != nil {
		change.Base = stored.Revision
	}
	next, err := settings.Apply(stored, change)
	if err != nil {
		operator.refuse(request, err)
		return
	}
	operator.respond(request, http.StatusOK, change.Base, Preview{
		Team:        change.Team,
		Revision:    change.Base,
		Differences: settings.Diff(stored, next),
	})
}
