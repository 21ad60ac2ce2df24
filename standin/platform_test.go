package standin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/standin"
)

// serve starts handler and returns its address.
func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func put(key platform.Key, value string, checks ...platform.Check) platform.Transaction {
	write := platform.Write{Key: key, Value: json.RawMessage(value)}
	return platform.Transaction{Checks: checks, Writes: []platform.Write{write}}
}

func TestCommitOutcomesAreDistinct(t *testing.T) {
	fake := new(standin.Platform)
	client := platform.New(serve(t, fake), nil)
	absent := platform.Check{Key: "a"}

	first, err := client.Commit(t.Context(), put("a", `1`, absent))
	if err != nil || first != 1 {
		t.Fatalf("got %d, %v for the first commit, want revision 1", first, err)
	}

	_, err = client.Commit(t.Context(), put("a", `2`, absent))
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got %v for a failed check, want a ConflictError", err)
	}
	if got := conflict.Conflict.Rows; len(got) != 1 || string(got[0].Value) != `1` {
		t.Errorf("got conflict rows %+v, want the current row", got)
	}

	fake.Switch(standin.PlatformSwitches{LoseAnswers: 1})
	_, err = client.Commit(t.Context(), put("b", `1`))
	if !errors.Is(err, platform.ErrLost) {
		t.Errorf("got %v for a lost answer, want ErrLost", err)
	}
	if got := fake.Rows("b"); len(got) != 1 {
		t.Errorf("got rows %+v after a lost answer, want the written row", got)
	}

	fake.Switch(standin.PlatformSwitches{Outage: true})
	_, err = client.Commit(t.Context(), put("c", `1`))
	if !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("got %v in an outage, want ErrUnavailable", err)
	}
	if got := fake.Rows("c"); len(got) != 0 {
		t.Errorf("got rows %+v after an outage, want none", got)
	}
}

func TestCommitWithLostAnswerIsSentOnce(t *testing.T) {
	fake := new(standin.Platform)
	client := platform.New(serve(t, fake), nil)
	// The first commit leaves an idle keep-alive connection, on which net/http
	// would retry a request.
	if _, err := client.Commit(t.Context(), put("a", `1`)); err != nil {
		t.Fatal(err)
	}
	fake.Switch(standin.PlatformSwitches{LoseShare: 1})
	if _, err := client.Commit(t.Context(), put("a", `2`)); !errors.Is(err, platform.ErrLost) {
		t.Errorf("got %v, want ErrLost", err)
	}
	if got := fake.Counters().Commits; got != 2 {
		t.Errorf("got %d commits, want 2", got)
	}
}

func TestUnreachablePlatformIsUnavailable(t *testing.T) {
	server := httptest.NewServer(new(standin.Platform))
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	_, err := platform.New(address, nil).Commit(t.Context(), put("a", `1`))
	if !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", err)
	}
}

func TestUnknownStatusIsLost(t *testing.T) {
	broken := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusInternalServerError)
	})
	_, err := platform.New(serve(t, broken), nil).Commit(t.Context(), put("a", `1`))
	if !errors.Is(err, platform.ErrLost) {
		t.Errorf("got %v, want ErrLost", err)
	}
}

// TestDelayedCommitSurvivesCancellation checks that a delayed write takes effect
// after its sender has cancelled it.
func TestDelayedCommitSurvivesCancellation(t *testing.T) {
	waiting := make(chan struct{})
	proceed := make(chan struct{})
	fake := &standin.Platform{Clock: standin.Clock{Sleep: func(ctx context.Context, _ time.Duration) error {
		close(waiting)
		<-proceed
		return ctx.Err()
	}}}
	server := httptest.NewServer(fake)
	client := platform.New(strings.TrimPrefix(server.URL, "http://"), nil)
	fake.Switch(standin.PlatformSwitches{SlowMs: 1000})
	ctx, cancel := context.WithCancel(t.Context())
	go cancelAfter{waiting, cancel}.run()
	if _, err := client.Commit(ctx, put("a", `1`)); !errors.Is(err, platform.ErrLost) {
		t.Errorf("got %v, want ErrLost", err)
	}
	close(proceed)
	server.Close()
	if got := fake.Rows("a"); len(got) != 1 {
		t.Errorf("got rows %+v, want the delayed write", got)
	}
}

type cancelAfter struct {
	signal <-chan struct{}
	cancel context.CancelFunc
}

func (after cancelAfter) run() {
	<-after.signal
	after.cancel()
}

func TestRevisionRisesAndScanIsOrdered(t *testing.T) {
	fake := new(standin.Platform)
	client := platform.New(serve(t, fake), nil)
	for _, key := range []platform.Key{"teams/b", "teams/a", "other", "teams/c"} {
		if _, err := client.Commit(t.Context(), put(key, `1`)); err != nil {
			t.Fatal(err)
		}
	}
	rows, err := client.Scan(t.Context(), "teams/", "teams/a", 10)
	if err != nil {
		t.Fatal(err)
	}
	var got []platform.Key
	for _, row := range rows {
		got = append(got, row.Key)
	}
	if want := []platform.Key{"teams/b", "teams/c"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := rows[1].Revision; got != 4 {
		t.Errorf("got revision %d for the last write, want 4", got)
	}
	present, err := client.Read(t.Context(), "teams/a", "absent")
	if err != nil || len(present) != 1 {
		t.Errorf("got %+v, %v, want the one existing row", present, err)
	}
}

func TestWriteLimitRefusesExcessCommits(t *testing.T) {
	clock := new(clock)
	fake := &standin.Platform{Clock: standin.Clock{Now: clock.now}}
	fake.Switch(standin.PlatformSwitches{WritesPerSecond: 3})
	client := platform.New(serve(t, fake), nil)
	refused := 0
	for range 5 {
		if _, err := client.Commit(t.Context(), put("a", `1`)); errors.Is(err, platform.ErrUnavailable) {
			refused++
		}
	}
	if refused != 2 {
		t.Errorf("got %d of 5 simultaneous commits refused, want 2", refused)
	}
	clock.advance(time.Second)
	if _, err := client.Commit(t.Context(), put("a", `1`)); err != nil {
		t.Errorf("got %v a second later, want no error", err)
	}
}

func TestVMListLagsAndKnowsItsETag(t *testing.T) {
	clock := new(clock)
	fake := &standin.Platform{Clock: standin.Clock{Now: clock.now}}
	fake.Switch(standin.PlatformSwitches{LagMs: 3000})
	traffic := new(metrics.Traffic)
	client := platform.New(serve(t, fake), traffic)
	fake.PutVM(platform.VM{ID: "vm-1", Role: platform.RoleRouter})

	empty, err := client.VMs(t.Context(), "")
	if err != nil || len(empty.VMs) != 0 {
		t.Fatalf("got %+v, %v before the lag, want an empty list", empty, err)
	}
	clock.advance(3 * time.Second)
	list, err := client.VMs(t.Context(), empty.ETag)
	if err != nil || len(list.VMs) != 1 || list.VMs[0].ID != "vm-1" {
		t.Fatalf("got %+v, %v after the lag, want vm-1", list, err)
	}
	before := traffic.Received()
	if _, err := client.VMs(t.Context(), list.ETag); !errors.Is(err, platform.ErrUnchanged) {
		t.Errorf("got %v for the current list, want ErrUnchanged", err)
	}
	if traffic.Received() == before {
		t.Error("got no received bytes counted for the answer, want some")
	}
	fake.DeleteVM("vm-1")
	if _, err := client.VMs(t.Context(), list.ETag); !errors.Is(err, platform.ErrUnchanged) {
		t.Errorf("got %v before the lag of a removal, want ErrUnchanged", err)
	}
}

func TestObjects(t *testing.T) {
	client := platform.New(serve(t, new(standin.Platform)), nil)
	if _, err := client.GetObject(t.Context(), "audit/2026"); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("got %v for an absent object, want ErrNotFound", err)
	}
	if err := client.PutObject(t.Context(), "audit/2026", []byte("line")); err != nil {
		t.Fatal(err)
	}
	got, err := client.GetObject(t.Context(), "audit/2026")
	if err != nil || string(got) != "line" {
		t.Errorf("got %q, %v, want %q", got, err, "line")
	}
}

func ExamplePlatform() {
	fake := new(standin.Platform)
	server := httptest.NewServer(fake)
	defer server.Close()
	client := platform.New(strings.TrimPrefix(server.URL, "http://"), nil)

	fake.Switch(standin.PlatformSwitches{Outage: true})
	_, err := client.Commit(context.Background(), put("a", `1`))
	fmt.Println(errors.Is(err, platform.ErrUnavailable))
	// Output: true
}
