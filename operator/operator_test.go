package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/operator"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
	"github.com/hickoryhead/hickoryhead/settingstable"
	"github.com/hickoryhead/hickoryhead/standin"
)

const draftPath = "/v1/settings/Teams/beaudoin/Routes/draft"

// fixture is an operator API over a fake platform.
type fixture struct {
	t        *testing.T
	platform *standin.Platform
	client   *platform.Client
	handler  http.Handler
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	fixture := &fixture{t: t, platform: &standin.Platform{}}
	server := httptest.NewServer(fixture.platform)
	t.Cleanup(server.Close)
	fixture.client = platform.New(strings.TrimPrefix(server.URL, "http://"), nil)
	store := &settingstable.Store{Client: fixture.client}
	for _, team := range []ident.TeamID{"beaudoin", "ndiaye"} {
		row := settingstable.Team{CredentialSHA256: []string{settingstable.HashCredential("secret of " + string(team))}}
		if err := store.PutTeam(context.Background(), team, row); err != nil {
			t.Fatal(err)
		}
	}
	replicator := &peer.Replicator{}
	handler, err := operator.New(&operator.Operator{
		View:     replicator.View,
		Accepted: replicator.AdoptCommitted,
		Accept:   store.Accept,
		Find:     store.Find,
		Load:     store.Load,
		History:  store.History,
		Entry:    store.Entry,
		Team:     store.Team,
		Snapshot: store.WriteSnapshot,
	})
	if err != nil {
		t.Fatal(err)
	}
	fixture.handler = handler
	return fixture
}

type response struct {
	status int
	header http.Header
	body   string
}

func (fixture *fixture) send(method, path, team, body string, headers ...string) response {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer secret of "+team)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	recorder := httptest.NewRecorder()
	fixture.handler.ServeHTTP(recorder, request)
	content, err := io.ReadAll(recorder.Result().Body)
	if err != nil {
		fixture.t.Error(err)
	}
	return response{status: recorder.Code, header: recorder.Result().Header, body: string(content)}
}

func (fixture *fixture) expect(got response, code result.Code, contains string) {
	fixture.t.Helper()
	if want := code.Status(); got.status != want {
		fixture.t.Errorf("got status %d with body %s, want %d", got.status, got.body, want)
	}
	if !strings.Contains(got.body, contains) {
		fixture.t.Errorf("got body %s, want it to contain %s", got.body, contains)
	}
	if code != result.OK && got.header.Get(operator.HeaderResult) != code.String() {
		fixture.t.Errorf("got result %q, want %s", got.header.Get(operator.HeaderResult), code)
	}
}

func TestSettingIsPutReadListedAndDeleted(t *testing.T) {
	fixture := newFixture(t)
	value := `{"Model":"planogram-7b@3","Idempotent":true}`
	fixture.expect(fixture.send("GET", draftPath, "beaudoin", ""), result.PathNotFound, draftPath[len("/v1/settings"):])
	put := fixture.send("PUT", draftPath, "beaudoin", value, "If-Match", `"0"`, operator.HeaderAuthor, "shelf desk", operator.HeaderReason, "opening")
	fixture.expect(put, result.OK, `"Revision":1`)
	got := fixture.send("GET", draftPath, "beaudoin", "")
	fixture.expect(got, result.OK, value)
	if got, want := got.header.Get("ETag"), `"1"`; got != want {
		t.Errorf("got ETag %s, want %s", got, want)
	}
	fixture.expect(fixture.send("GET", "/v1/settings/Teams/beaudoin", "beaudoin", ""), result.OK, `"/Teams/beaudoin/Routes/draft":`+value)
	fixture.expect(fixture.send("GET", "/v1/settings/Teams/beaudoin/Workspaces", "beaudoin", ""), result.OK, `"Values":{}`)
	fixture.expect(fixture.send("DELETE", draftPath, "beaudoin", "", "If-Match", `"1"`), result.OK, `"Revision":2`)
	fixture.expect(fixture.send("GET", draftPath, "beaudoin", ""), result.PathNotFound, "")
	history := fixture.send("GET", "/v1/settings/history/Teams/beaudoin", "beaudoin", "")
	fixture.expect(history, result.OK, `"Author":"shelf desk","Reason":"opening","Differences":[{"Path":"/Teams/beaudoin/Routes/draft","After":`+value+`}]`)
	fixture.expect(history, result.OK, `"Before":`+value)
}

func TestRefusals(t *testing.T) {
	fixture := newFixture(t)
	value := `{"Model":"planogram-7b@3"}`
	other := `{"Team":"beaudoin","Values":{"/Teams/ndiaye/Routes/rota":{"Model":"x"}}}`
	tests := []struct {
		name    string
		got     response
		code    result.Code
		contain string
	}{
		{"credential of another team", fixture.send("PUT", draftPath, "ndiaye", value, "If-Match", "0"), result.Unauthenticated, "beaudoin"},
		{"unknown team", fixture.send("GET", "/v1/settings/Teams/nobody", "nobody", ""), result.Unauthenticated, "nobody"},
		{"path of another team", fixture.send("POST", "/v1/settings/apply", "beaudoin", other, "If-Match", "0"), result.NotOwner, "may change only /Teams/beaudoin"},
		{"no If-Match", fixture.send("PUT", draftPath, "beaudoin", value), result.InvalidHeader, "If-Match"},
		{"odd If-Match", fixture.send("PUT", draftPath, "beaudoin", value, "If-Match", "new"), result.InvalidHeader, "If-Match"},
		{"empty body", fixture.send("PUT", draftPath, "beaudoin", "", "If-Match", "0"), result.MalformedBody, "empty"},
		{"invalid value", fixture.send("PUT", draftPath, "beaudoin", `{"model":"x"}`, "If-Match", "0"), result.InvalidSettings, `unknown field \"model\"`},
		{"unknown kind", fixture.send("GET", "/v1/settings/Teams/beaudoin/Widgets", "beaudoin", ""), result.PathNotFound, "Routes"},
		{"long body", fixture.send("POST", "/v1/settings/apply", "beaudoin", strings.Repeat(" ", 600<<10)), result.SettingsLimit, "longer"},
		{"absent revision", fixture.send("POST", "/v1/settings/undo", "beaudoin", `{"Team":"beaudoin","Revision":9}`), result.PathNotFound, "9"},
	}
	for _, test := range tests {
		t.Run(test.name, func(*testing.T) { fixture.expect(test.got, test.code, test.contain) })
	}
}

// racer is one of several operators who change settings at the same time.
type racer struct {
	fixture *fixture
	got     response
}

func (racer *racer) run(start, done *sync.WaitGroup, number int) {
	defer done.Done()
	start.Wait()
	path := fmt.Sprintf("/v1/settings/Teams/beaudoin/Workspaces/w%d", number)
	racer.got = racer.fixture.send("PUT", path, "beaudoin", `{"Weight":1}`, "If-Match", `"0"`)
}

func TestExactlyOneOfRacingOperatorsIsAccepted(t *testing.T) {
	fixture := newFixture(t)
	racers := make([]racer, 8)
	var start, done sync.WaitGroup
	start.Add(1)
	for number := range racers {
		racers[number].fixture = fixture
		done.Add(1)
		go racers[number].run(&start, &done, number)
	}
	start.Done()
	done.Wait()
	accepted := 0
	for _, racer := range racers {
		if racer.got.status == http.StatusOK {
			accepted++
			continue
		}
		fixture.expect(racer.got, result.RevisionConflict, `"Present":{"Team":"beaudoin","Revision":1,`)
	}
	if want := 1; accepted != want {
		t.Errorf("got %d accepted changes, want %d", accepted, want)
	}
}

func TestLostAnswerIsResolvedByTheChangeID(t *testing.T) {
	fixture := newFixture(t)
	fixture.platform.Switch(standin.PlatformSwitches{LoseAnswers: 1})
	value := `{"Model":"planogram-7b@3"}`
	first := fixture.send("PUT", draftPath, "beaudoin", value, "If-Match", "0", operator.HeaderChangeID, "change-1")
	fixture.expect(first, result.OK, `"Revision":1,"ChangeID":"change-1","Repeated":true`)
	again := fixture.send("PUT", draftPath, "beaudoin", value, "If-Match", "0", operator.HeaderChangeID, "change-1")
	fixture.expect(again, result.OK, `"Revision":1,"ChangeID":"change-1","Repeated":true`)
	other := fixture.send("PUT", draftPath, "beaudoin", `{"Model":"other"}`, "If-Match", "1", operator.HeaderChangeID, "change-1")
	fixture.expect(other, result.KeyReused, "revision 1")
}

func TestUndoIsANewChangeOnce(t *testing.T) {
	fixture := newFixture(t)
	fixture.expect(fixture.send("PUT", draftPath, "beaudoin", `{"Model":"one"}`, "If-Match", "0"), result.OK, "")
	fixture.expect(fixture.send("PUT", draftPath, "beaudoin", `{"Model":"two"}`, "If-Match", "1"), result.OK, "")
	undo := `{"Team":"beaudoin","Revision":2}`
	dry := fixture.send("POST", "/v1/settings/undo?DryRun=true", "beaudoin", undo)
	fixture.expect(dry, result.OK, `"Before":{"Model":"two","Idempotent":false},"After":{"Model":"one","Idempotent":false}`)
	for range 2 {
		got := fixture.send("POST", "/v1/settings/undo", "beaudoin", undo, "If-Match", "2", operator.HeaderChangeID, "undo-1")
		fixture.expect(got, result.OK, `"Revision":3`)
	}
	fixture.expect(fixture.send("GET", draftPath, "beaudoin", ""), result.OK, `"Model":"one"`)
	fixture.expect(fixture.send("POST", "/v1/settings/undo", "beaudoin", undo, "If-Match", "3"), result.RevisionConflict, "a later change touched it")
}

// With ?Accepted=true, a router that has not received a change yet returns it
// from the platform's table.
func TestAcceptedSettingsAreThoseOfTheTable(t *testing.T) {
	fixture := newFixture(t)
	store := &settingstable.Store{Client: fixture.client}
	change := settings.Change{ID: "elsewhere", Team: "beaudoin", Values: weightChange}
	if _, err := store.Accept(context.Background(), change); err != nil {
		t.Fatal(err)
	}
	fixture.expect(fixture.send("GET", "/v1/settings/Teams/beaudoin", "beaudoin", ""), result.OK, `"Revision":0`)
	fixture.expect(fixture.send("GET", "/v1/settings/Teams/beaudoin?Accepted=true", "beaudoin", ""), result.OK, `"Revision":1`)
}

func TestDryRunChangesNothing(t *testing.T) {
	fixture := newFixture(t)
	body := `{"Team":"beaudoin","Values":{"/Teams/beaudoin/Priorities/shelf":{"Mark":1}}}`
	fixture.expect(fixture.send("POST", "/v1/settings/apply?DryRun=true", "beaudoin", body), result.OK, `"After":{"Mark":1}`)
	if got, want := len(fixture.platform.Scan("settings/")), 0; got != want {
		t.Errorf("got %d rows after a dry run, want %d", got, want)
	}
}

func TestReadsGoOnDuringAnOutageAndChangesAreRefused(t *testing.T) {
	fixture := newFixture(t)
	fixture.expect(fixture.send("PUT", draftPath, "beaudoin", `{"Model":"one"}`, "If-Match", "0"), result.OK, "")
	fixture.platform.Switch(standin.PlatformSwitches{Outage: true})
	fixture.expect(fixture.send("GET", draftPath, "beaudoin", ""), result.OK, `"Model":"one"`)
	fixture.expect(fixture.send("GET", draftPath, "ndiaye", ""), result.Unauthenticated, "")
	refused := fixture.send("PUT", draftPath, "beaudoin", `{"Model":"two"}`, "If-Match", "1")
	fixture.expect(refused, result.PlatformUnavailable, `"Outcome":"NotRun"`)
	if refused.header.Get("Retry-After") == "" {
		t.Error("got no Retry-After header, want one")
	}
}

// Applying the values of a listing unchanged makes no differences.
func TestListingCanBeApplied(t *testing.T) {
	fixture := newFixture(t)
	body := `{"Team":"beaudoin","Values":{"/Teams/beaudoin/Priorities/shelf":{"Mark":1},"/Teams/beaudoin/Routes/draft":{"Model":"m","Priority":"shelf"}}}`
	fixture.expect(fixture.send("POST", "/v1/settings/apply", "beaudoin", body, "If-Match", "0"), result.OK, "")
	var list operator.Listing
	if err := json.Unmarshal([]byte(fixture.send("GET", "/v1/settings/Teams/beaudoin", "beaudoin", "").body), &list); err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(operator.Apply{Team: list.Team, Values: list.Values})
	if err != nil {
		t.Fatal(err)
	}
	var preview operator.Preview
	dry := fixture.send("POST", "/v1/settings/apply?DryRun=true", "beaudoin", string(again))
	if err := json.NewDecoder(bytes.NewReader([]byte(dry.body))).Decode(&preview); err != nil {
		t.Fatal(err)
	}
	if got := preview.Differences; len(got) != 0 {
		t.Errorf("got differences %v, want none", got)
	}
	if got, want := len(list.Values), 2; got != want {
		t.Errorf("got %d values, want %d", got, want)
	}
	if _, found := list.Values[settings.Path("/Teams/beaudoin/Routes/draft")]; !found {
		t.Error("route draft is missing from the listing")
	}
}
