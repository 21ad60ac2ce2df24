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
	// acceptTimeout bounds the commit of a change. It does not end when the
	// operator hangs up, so that a commit on its way is seen through.
	acceptTimeout = 10 * time.Second
	// storeTimeout bounds one read of the store.
	storeTimeout = 3 * time.Second
	// upkeepTimeout bounds a snapshot or a run of the archive.
	upkeepTimeout = time.Minute
	// maxBodyBytes bounds a request body.
	maxBodyBytes = int64(settings.MaxChangeBytes) * 2
	// maxHistory is the most entries of one answer.
	maxHistory = 200
)

// Events that the operators' interface counts.
const (
	eventAccepted = "operator.accepted"
	eventRepeated = "operator.repeated"
	eventSnapshot = "operator.snapshot"
	eventArchive  = "operator.archive"
)

// Operator serves the settings of the teams to their operators. Its fields are
// seams to the store and to the replicator.
type Operator struct {
	// View returns the settings in force at this daemon.
	View func() *settings.View
	// Accepted puts an accepted subtree in force and announces it.
	Accepted func(subtree *settings.Subtree)
	// Accept commits a change, as settingstable.Store.Accept does.
	Accept func(ctx context.Context, change settings.Change) (settingstable.Accepted, error)
	// Find looks for a change that may have been accepted, as
	// settingstable.Store.Find does.
	Find func(ctx context.Context, change settings.Change) (settingstable.Accepted, bool, error)
	// Load, History, Entry and Team read the store, as settingstable.Store does.
	Load    func(ctx context.Context, teams ...ident.TeamID) ([]*settings.Subtree, error)
	History func(ctx context.Context, team ident.TeamID, after ident.Revision, limit int) ([]settings.Entry, error)
	Entry   func(ctx context.Context, team ident.TeamID, revision ident.Revision) (settings.Entry, error)
	Team    func(ctx context.Context, team ident.TeamID) (settingstable.Team, error)
	// Snapshot stores the settings of a view; nil stores none.
	Snapshot func(ctx context.Context, view *settings.View) error
	// Archive moves the old history of a team out of the table; nil moves none.
	Archive func(ctx context.Context, team ident.TeamID, latest ident.Revision) error
	// Now tells the time; nil means time.Now.
	Now     func() time.Time
	Metrics *metrics.Set
	Logger  *slog.Logger

	mu sync.Mutex
	// teams holds the credentials read last, for reads during an outage.
	teams map[ident.TeamID]settingstable.Team
}

// New returns the HTTP handler of operator. It serves paths under /v1/settings.
func New(operator *Operator) (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get("/v1/settings/Teams/{team}", operator.getTeam)
	app.Get("/v1/settings/Teams/{team}/{kind}", operator.getKind)
	app.Get("/v1/settings/Teams/{team}/{kind}/{name}", operator.getOne)
	app.Put("/v1/settings/Teams/{team}/{kind}/{name}", operator.put)
	app.Delete("/v1/settings/Teams/{team}/{kind}/{name}", operator.remove)
	app.Post("/v1/settings/apply", operator.apply)
	app.Post("/v1/settings/undo", operator.undo)
	app.Get("/v1/settings/history/Teams/{team}", operator.history)
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "operators' interface")
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
