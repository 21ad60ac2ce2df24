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

// fakeTable is an in-memory table that can be down or lose the answers of
// commits.
type fakeTable struct {
	mutex         sync.Mutex
	rows          map[platform.Key]platform.Row
	revision      ident.Revision
	commits       int
	down          bool
	answersToLose int
	// commitDelay is how long a commit takes.
	commitDelay time.Duration
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
	time.Sleep(table.commitDelay)
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
	if table.answersToLose > 0 {
		table.answersToLose--
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

// claimerGroup is a set of Claimers that share a table and can query one
// another.
type claimerGroup struct {
	table    fakeTable
	mutex    sync.Mutex
	claimers map[string]*claimtable.Claimer
	runs     int
}

func (group *claimerGroup) add(address string) *claimtable.Claimer {
	claimer := claimtable.New(claimtable.Options{Table: group.table.client(), Address: address, QueryAttempt: group.ask})
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if group.claimers == nil {
		group.claimers = make(map[string]*claimtable.Claimer)
	}
	group.claimers[address] = claimer
	return claimer
}

func (group *claimerGroup) ask(_ context.Context, address string, attempt ident.AttemptID) (peer.AttemptReply, error) {
	group.mutex.Lock()
	claimer := group.claimers[address]
	group.mutex.Unlock()
	if claimer == nil {
		return peer.AttemptReply{}, errors.New("connection refused")
	}
	return claimer.Status(attempt), nil
}

func (group *claimerGroup) forward(_ context.Context) (claim.Reply, error) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.runs++
	return claim.Reply{Status: 201, ContentType: "text/plain", Body: []byte("printed \xff")}, nil
}

func (group *claimerGroup) close(t *testing.T) {
	t.Helper()
	for address, claimer := range group.claimers {
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

func TestRepeatedRequestGetsRecordedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group claimerGroup
		sidecarA, sidecarB := group.add("one"), group.add("other")
		first, err := sidecarA.Run(t.Context(), newRequest(1), group.forward)
		if err != nil || first.Replayed {
			t.Fatalf("got %+v and %v, want an answer that is not replayed", first, err)
		}
		again, err := sidecarB.Run(t.Context(), newRequest(1), group.forward)
		if err != nil || !again.Replayed || string(again.Reply.Body) != string(first.Reply.Body) {
			t.Errorf("got %+v and %v, want the same answer replayed", again, err)
		}
		_, err = sidecarB.Run(t.Context(), newRequest(2), group.forward)
		if got, want := result.CodeOf(err), result.KeyReused; got != want {
			t.Errorf("got %s for another body, want %s", got.Name(), want.Name())
		}
		group.close(t)
		if got, want := group.runs, 1; got != want {
			t.Errorf("got %d runs, want %d", got, want)
		}
	})
}

func TestTableOutageReportsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group claimerGroup
		claimer := group.add("one")
		group.table.setDown(true)
		started := time.Now()
		_, err := claimer.Run(t.Context(), newRequest(1), group.forward)
		failure := result.From(err, result.OK)
		if got, want := failure.Code, result.ClaimUnavailable; got != want {
			t.Errorf("got %s, want %s", got.Name(), want.Name())
		}
		if !failure.RetryAt.After(started) {
			t.Error("got no retry time after the start, want one")
		}
		group.close(t)
		if got, want := group.runs, 0; got != want {
			t.Errorf("got %d runs, want %d", got, want)
		}
	})
}

func TestLostCommitIsResolvedByRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := claimerGroup{table: fakeTable{answersToLose: 1}}
		claimer := group.add("one")
		answer, err := claimer.Run(t.Context(), newRequest(1), group.forward)
		if err != nil || answer.Replayed {
			t.Errorf("got %+v and %v, want an answer", answer, err)
		}
		group.close(t)
		if got, want := group.runs, 1; got != want {
			t.Errorf("got %d runs, want %d", got, want)
		}
	})
}

// TestAnswerIsRecordedAfterOutage guards against answers that are lost because
// the table went down after the claim was written. The caller has its answer, a
// repeated request is served from the holder's memory once the claim can be
// read, and the answer is recorded afterwards.
func TestAnswerIsRecordedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group claimerGroup
		sidecarA, sidecarB := group.add("one"), group.add("other")
		request := newRequest(1)
		answer, err := sidecarA.Run(t.Context(), request, func(ctx context.Context) (claim.Reply, error) {
			group.table.setDown(true)
			return group.forward(ctx)
		})
		if err != nil {
			t.Fatalf("got %v, want an answer", err)
		}
		if got, want := sidecarA.Status(request.Attempt).State, peer.AttemptDone; got != want {
			t.Errorf("got attempt %s, want %s", got, want)
		}
		time.Sleep(time.Minute)
		group.table.setDown(false)
		again, err := sidecarB.Run(t.Context(), newRequest(1), group.forward)
		if err != nil || string(again.Reply.Body) != string(answer.Reply.Body) {
			t.Errorf("got %+v and %v, want the same answer", again, err)
		}
		group.close(t)
		if got, want := group.table.record(t, request.Key).State, claim.Done; got != want {
			t.Errorf("got claim %s, want %s", got, want)
		}
	})
}

// TestForwardedRequestContinuesWithoutCaller guards against answers that are
// lost because the caller left while the upstream ran its request. The answer
// must still be recorded, for a caller that retries.
func TestForwardedRequestContinuesWithoutCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group claimerGroup
		claimer := group.add("one")
		ctx, cancel := context.WithCancel(t.Context())
		request := newRequest(1)
		_, err := claimer.Run(ctx, request, func(ctx context.Context) (claim.Reply, error) {
			cancel()
			time.Sleep(5 * time.Second)
			if ctx.Err() != nil {
				t.Error("got the request cancelled, want it to continue")
			}
			return group.forward(ctx)
		})
		if got, want := result.CodeOf(err), result.DeadlineExpired; got != want {
			t.Errorf("got %s, want %s", got.Name(), want.Name())
		}
		_, err = claimer.Run(t.Context(), newRequest(1), group.forward)
		if got, want := result.CodeOf(err), result.KeyInProgress; got != want {
			t.Errorf("got %s while it runs, want %s", got.Name(), want.Name())
		}
		group.close(t)
		if got, want := group.table.record(t, request.Key).State, claim.Done; got != want {
			t.Errorf("got claim %s, want %s", got, want)
		}
	})
}

func TestManyClaimsShareWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := claimerGroup{table: fakeTable{commitDelay: 10 * time.Millisecond}}
		claimer := group.add("one")
		var wait sync.WaitGroup
		for i := range 500 {
			wait.Go(func() {
				request := newRequest(ident.Fingerprint(i))
				request.Key.Key = ident.IdempotencyKey(ident.NewRequestID())
				if _, err := claimer.Run(t.Context(), request, group.forward); err != nil {
					t.Errorf("got %v, want an answer", err)
				}
			})
		}
		wait.Wait()
		group.close(t)
		if got, most := group.table.commits, 100; got > most {
			t.Errorf("got %d writes for 500 requests, want at most %d", got, most)
		}
	})
}
