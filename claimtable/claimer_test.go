package claimtable_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/claim"
	"github.com/hickoryhead/hickoryhead/claimtable"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/result"
)

// fakeTable is a table that can be down or lose the answers of commits.
type fakeTable struct {
	mutex    sync.Mutex
	rows     map[platform.Key]platform.Row
	revision ident.Revision
	commits  int
	down     bool
	loseNext int
	// delay is how long a commit takes.
	delay time.Duration
}

func (table *fakeTable) client() *platform.Client {
	return &platform.Client{Commit: table.commit, Read: table.read}
}

func (table *fakeTable) setDown(down bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.down = down
}

func (table *fakeTable) commit(_ context.Context, transaction platform.Transaction) (ident.Revision, error) {
	time.Sleep(table.delay)
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if table.down {
		return 0, errors.Wrap(platform.ErrUnavailable, "down")
	}
	table.commits++
	var conflict platform.ConflictError
	failed := false
	for _, check := range transaction.Checks {
		if row := table.rows[check.Key]; row.Revision != check.Revision {
			failed = true
			conflict.Conflict.Rows = append(conflict.Conflict.Rows, row)
		}
	}
	if failed {
		return 0, &conflict
	}
	if table.rows == nil {
		table.rows = make(map[platform.Key]platform.Row)
	}
	table.revision++
	for _, write := range transaction.Writes {
		table.rows[write.Key] = platform.Row{Key: write.Key, Value: write.Value, Revision: table.revision}
	}
	if table.loseNext > 0 {
		table.loseNext--
		return 0, errors.Wrap(platform.ErrLost, "cut")
	}
	return table.revision, nil
}

func (table *fakeTable) read(_ context.Context, keys ...platform.Key) ([]platform.Row, error) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if table.down {
		return nil, errors.Wrap(platform.ErrUnavailable, "down")
	}
	var rows []platform.Row
	for _, key := range keys {
		if row, present := table.rows[key]; present {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (table *fakeTable) record(t *testing.T, key claim.Key) claim.Record {
	t.Helper()
	rows, err := table.read(t.Context(), key.Row())
	if err != nil {
		t.Fatal(err)
	}
	var record claim.Record
	if len(rows) == 1 {
		if err := json.Unmarshal(rows[0].Value, &record); err != nil {
			t.Fatal(err)
		}
	}
	return record
}

// fleet is a few Claimers that can ask each other.
type fleet struct {
	table    fakeTable
	mutex    sync.Mutex
	claimers map[string]*claimtable.Claimer
	runs     int
}

func (fleet *fleet) add(address string) *claimtable.Claimer {
	claimer := claimtable.New(claimtable.Options{Table: fleet.table.client(), Address: address, Ask: fleet.ask})
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if fleet.claimers == nil {
		fleet.claimers = make(map[string]*claimtable.Claimer)
	}
	fleet.claimers[address] = claimer
	return claimer
}

func (fleet *fleet) ask(_ context.Context, address string, attempt ident.AttemptID) (peer.AttemptReply, error) {
	fleet.mutex.Lock()
	claimer := fleet.claimers[address]
	fleet.mutex.Unlock()
	if claimer == nil {
		return peer.AttemptReply{}, errors.New("connection refused")
	}
	return claimer.Status(attempt), nil
}

func (fleet *fleet) forward(_ context.Context) (claim.Reply, error) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.runs++
	return claim.Reply{Status: 201, ContentType: "text/plain", Body: []byte("printed \xff")}, nil
}

func (fleet *fleet) close(t *testing.T) {
	t.Helper()
	for address, claimer := range fleet.claimers {
		if err := claimer.Close(t.Context()); err != nil {
			t.Errorf("got %v from Close of %s, want nil", err, address)
		}
	}
}

func newRequest(body ident.Fingerprint) claimtable.Request {
	return claimtable.Request{
		Key:      claim.Key{Service: "print", Workspace: "beaudoin", Key: "order-1"},
		Attempt:  ident.NewAttemptID(),
		Upstream: "runner-1",
		Body:     body,
		Deadline: time.Now().Add(10 * time.Second),
	}
}

func TestRepeatGetsTheRecordedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var fleet fleet
		one, other := fleet.add("one"), fleet.add("other")
		first, err := one.Run(t.Context(), newRequest(1), fleet.forward)
		if err != nil || first.Replayed {
			t.Fatalf("got %+v and %v, want a first answer", first, err)
		}
		again, err := other.Run(t.Context(), newRequest(1), fleet.forward)
		if err != nil || !again.Replayed || string(again.Reply.Body) != string(first.Reply.Body) {
			t.Errorf("got %+v and %v, want the same answer replayed", again, err)
		}
		_, err = other.Run(t.Context(), newRequest(2), fleet.forward)
		if got, want := result.CodeOf(err), result.KeyReused; got != want {
			t.Errorf("got %s for another body, want %s", got.Name(), want.Name())
		}
		fleet.close(t)
		if got, want := fleet.runs, 1; got != want {
			t.Errorf("got %d runs, want %d", got, want)
		}
	})
}

func TestOutageIsToldNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var fleet fleet
		claimer := fleet.add("one")
		fleet.table.setDown(true)
		started := time.Now()
		_, err := claimer.Run(t.Context(), newRequest(1), fleet.forward)
		failure := result.From(err, result.OK)
		if got, want := failure.Code, result.ClaimUnavailable; got != want {
			t.Errorf("got %s, want %s", got.Name(), want.Name())
		}
		if !failure.RetryAt.After(started) {
			t.Error("got no time to come back, want one")
		}
		fleet.close(t)
		if got, want := fleet.runs, 0; got != want {
			t.Errorf("got %d runs, want %d", got, want)
		}
	})
}

func TestLostCommitIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := fleet{table: fakeTable{loseNext: 1}}
		claimer := fleet.add("one")
		answer, err := claimer.Run(t.Context(), newRequest(1), fleet.forward)
		if err != nil || answer.Replayed {
			t.Errorf("got %+v and %v, want an answer", answer, err)
		}
		fleet.close(t)
		if got, want := fleet.runs, 1; got != want {
			t.Errorf("got %d runs, want %d", got, want)
		}
	})
}

// The table goes down after the claim: the caller has its answer, a repeat is
// served from the holder's memory once the claim can be read, and the answer is
// recorded afterwards.
func TestAnswerIsRecordedAfterTheOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var fleet fleet
		one, other := fleet.add("one"), fleet.add("other")
		request := newRequest(1)
		answer, err := one.Run(t.Context(), request, func(ctx context.Context) (claim.Reply, error) {
			fleet.table.setDown(true)
			return fleet.forward(ctx)
		})
		if err != nil {
			t.Fatalf("got %v, want an answer", err)
		}
		if got, want := one.Status(request.Attempt).State, peer.AttemptDone; got != want {
			t.Errorf("got attempt %s, want %s", got, want)
		}
		time.Sleep(time.Minute)
		fleet.table.setDown(false)
		again, err := other.Run(t.Context(), newRequest(1), fleet.forward)
		if err != nil || string(again.Reply.Body) != string(answer.Reply.Body) {
			t.Errorf("got %+v and %v, want the same answer", again, err)
		}
		fleet.close(t)
		if got, want := fleet.table.record(t, request.Key).State, claim.Done; got != want {
			t.Errorf("got claim %s, want %s", got, want)
		}
	})
}

// The caller goes away while the upstream runs its request: the answer is
// recorded all the same, and the caller finds it when it comes back.
func TestForwardedRequestOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var fleet fleet
		claimer := fleet.add("one")
		ctx, cancel := context.WithCancel(t.Context())
		request := newRequest(1)
		_, err := claimer.Run(ctx, request, func(ctx context.Context) (claim.Reply, error) {
			cancel()
			time.Sleep(5 * time.Second)
			if ctx.Err() != nil {
				t.Error("got the request cancelled, want it to go on")
			}
			return fleet.forward(ctx)
		})
		if got, want := result.CodeOf(err), result.DeadlineExpired; got != want {
			t.Errorf("got %s, want %s", got.Name(), want.Name())
		}
		_, err = claimer.Run(t.Context(), newRequest(1), fleet.forward)
		if got, want := result.CodeOf(err), result.KeyInProgress; got != want {
			t.Errorf("got %s while it runs, want %s", got.Name(), want.Name())
		}
		fleet.close(t)
		if got, want := fleet.table.record(t, request.Key).State, claim.Done; got != want {
			t.Errorf("got claim %s, want %s", got, want)
		}
	})
}

func TestManyClaimsShareWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := fleet{table: fakeTable{delay: 10 * time.Millisecond}}
		claimer := fleet.add("one")
		var wait sync.WaitGroup
		for i := range 500 {
			wait.Go(func() {
				request := newRequest(ident.Fingerprint(i))
				request.Key.Key = ident.IdempotencyKey(ident.NewRequestID())
				if _, err := claimer.Run(t.Context(), request, fleet.forward); err != nil {
					t.Errorf("got %v, want an answer", err)
				}
			})
		}
		wait.Wait()
		fleet.close(t)
		if got, most := fleet.table.commits, 100; got > most {
			t.Errorf("got %d writes for 500 requests, want at most %d", got, most)
		}
	})
}
