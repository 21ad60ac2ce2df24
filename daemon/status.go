package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/hickoryhead/hickoryhead/directory"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/sidecar"
)

const statusTimeout = 2 * time.Second

// RouterStatus is the response of a router to GET /v1/status.
type RouterStatus struct {
	VM        ident.VMID
	Ready     bool
	Active    int64
	Revisions map[ident.TeamID]ident.Revision
	Upstreams []UpstreamStatus
	// ControlBytes is the traffic with the platform and with peers since the
	// daemon started, sent and received.
	ControlBytes ident.Bytes
}

// UpstreamStatus is the state of one upstream as seen by a router.
type UpstreamStatus struct {
	Upstream ident.UpstreamID
	Address  string
	Zone     ident.Zone
	Leaving  bool
	// Reached is set if the sidecar responded to a request for its status, which
	// is then in Status.
	Reached bool
	Status  sidecar.Status
}

// status handles GET /v1/status.
func (router *Router) status(writer http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), statusTimeout)
	defer cancel()
	base := router.base
	answer := RouterStatus{
		VM:           router.Config.VM,
		Ready:        router.ready(),
		Active:       router.callers.Active(),
		Revisions:    base.view().Revisions(),
		ControlBytes: base.controlBytes(),
	}
	for _, entry := range base.directory.Entries() {
		answer.Upstreams = append(answer.Upstreams, router.upstreamStatus(ctx, entry))
	}
	writeJSON(writer, http.StatusOK, answer)
}

func (base *base) controlBytes() ident.Bytes {
	return base.platformTraffic.Sent() + base.platformTraffic.Received() + base.peerTraffic.Sent() + base.peerTraffic.Received()
}

func (router *Router) upstreamStatus(ctx context.Context, entry directory.Entry) UpstreamStatus {
	status, err := router.callers.Sidecars.Status(ctx, entry.Address)
	return UpstreamStatus{
		Upstream: entry.Upstream,
		Address:  entry.Address,
		Zone:     entry.Zone,
		Leaving:  router.base.directory.Leaving(entry.Upstream),
		Reached:  err == nil,
		Status:   status,
	}
}

// drain handles POST /v1/drain/{upstream}, after which the upstream accepts no new
// requests.
func (router *Router) drain(writer http.ResponseWriter, request *http.Request) {
	upstream := ident.UpstreamID(request.PathValue("upstream"))
	entry, found := router.base.directory.Entry(upstream)
	if !found {
		refuse(writer, result.Errorf(result.PathNotFound, "upstream %q", upstream))
		return
	}
	if err := router.mayDrain(request, entry); err != nil {
		refuse(writer, result.From(err, result.PlatformUnavailable))
		return
	}
	status, err := router.callers.Sidecars.Drain(request.Context(), entry.Address)
	if err != nil {
		refuse(writer, result.From(err, result.OutcomeUnknown))
		return
	}
	writeJSON(writer, http.StatusOK, status)
}

// mayDrain checks that the request carries a credential of the team in the query
// parameter Team, and that this team has a route to the upstream.
func (router *Router) mayDrain(request *http.Request, entry directory.Entry) error {
	team := ident.TeamID(request.FormValue("Team"))
	token, found := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	row, err := router.base.store.Team(request.Context(), team)
	if err != nil {
		return err
	}
	if !found || !row.Accepts(token) {
		return result.Errorf(result.Unauthenticated, "team %q", team)
	}
	subtree := router.base.view().Team(team)
	if subtree == nil {
		return result.Errorf(result.NotOwner, "team %q has no routes", team)
	}
	for _, route := range subtree.Routes {
		if directory.PoolKeyOf(route) == entry.PoolKey {
			return nil
		}
	}
	return result.Errorf(result.NotOwner, "team %q has no route to upstream %q", team, entry.Upstream)
}

func refuse(writer http.ResponseWriter, refusal *result.Error) {
	writeJSON(writer, refusal.Code.Status(), refusal.Problem(time.Now()))
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}
