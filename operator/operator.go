package operator

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/settings"
	"github.com/hickoryhead/hickoryhead/settingstable"
)

const (
	// commitTimeout bounds the commit of a change. The commit continues if the
	// operator disconnects, so that its result is recorded and announced.
	commitTimeout = 10 * time.Second
	// storeReadTimeout bounds one read of the store.
	storeReadTimeout = 3 * time.Second
	// maintenanceTimeout bounds writing a snapshot or archiving history.
	maintenanceTimeout = time.Minute
	// maxBodyBytes bounds a request body.
	maxBodyBytes = int64(settings.MaxChangeBytes) * 2
	// maxHistoryEntries is the maximum number of entries in one response.
	maxHistoryEntries = 200
)

// Names of the events counted in the metrics.
const (
	eventAccepted = "operator.accepted"
	eventRepeated = "operator.repeated"
	eventSnapshot = "operator.snapshot"
	eventArchive  = "operator.archive"
)

// Operator implements the HTTP handlers of the operator API. Its function fields
// give access to the store and the replicator. Those not documented as optional
// must be set before the first request.
type Operator struct {
	// View returns the settings in force at this daemon.
	View func() *settings.View
	// Accepted puts an accepted subtree into force and sends it to peers.
	Accepted func(subtree *settings.Subtree)
	// Accept commits a change, as settingstable.Store.Accept does.
	Accept func(ctx context.Context, change settings.Change) (settingstable.Accepted, error)
	// Find looks up a change that may already have been accepted, as
	// settingstable.Store.Find does.
	Find func(ctx context.Context, change settings.Change) (settingstable.Accepted, bool, error)
	// Load, History, Entry and Team read the store, as the methods of
	// settingstable.Store with these names do.
	Load    func(ctx context.Context, teams ...ident.TeamID) ([]*settings.Subtree, error)
	History func(ctx context.Context, team ident.TeamID, after ident.Revision, limit int) ([]settings.Entry, error)
	Entry   func(ctx context.Context, team ident.TeamID, revision ident.Revision) (settings.Entry, error)
	Team    func(ctx context.Context, team ident.TeamID) (settingstable.Team, error)
	// Snapshot stores the settings of a view; nil disables snapshots.
	Snapshot func(ctx context.Context, view *settings.View) error
	// Archive moves the old history of a team out of the table; nil disables
	// archiving.
	Archive func(ctx context.Context, team ident.TeamID, latest ident.Revision) error
	// Now returns the current time; nil means time.Now.
	Now     func() time.Time
	Metrics *metrics.Set
	Logger  *slog.Logger

	mu sync.Mutex
	// teamCache holds the last row read of each team, so that reads can be
	// authorized while the store is unavailable. Guarded by mu.
	teamCache map[ident.TeamID]settingstable.Team
}

// New returns an HTTP handler that serves the paths under /v1/settings.
func New(operator *Operator) (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get("/v1/settings/Teams/{team}", operator.getTeam)
	app.Get("/v1/settings/Teams/{team}/{kind}", operator.getKind)
	app.Get("/v1/settings/Teams/{team}/{kind}/{name}", operator.getSetting)
	app.Put("/v1/settings/Teams/{team}/{kind}/{name}", operator.putSetting)
	app.Delete("/v1/settings/Teams/{team}/{kind}/{name}", operator.deleteSetting)
	app.Post("/v1/settings/apply", operator.apply)
	app.Post("/v1/settings/undo", operator.undo)
	app.Get("/v1/settings/history/Teams/{team}", operator.history)
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "build operator API")
	}
	return app, nil
}

func (operator *Operator) now() time.Time {
	if operator.Now == nil {
		return time.Now()
	}
	return operator.Now()
}

func (operator *Operator) logger() *slog.Logger {
	return logging.Component(operator.Logger, "operator")
}
