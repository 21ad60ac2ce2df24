package standin_test

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/standin"
	"github.com/hickoryhead/hickoryhead/upstream"
)

func request(text string, tokens ident.Tokens) upstream.Generate {
	return upstream.Generate{
		Request: ident.NewAttemptID(),
		Chat:    "chat-1",
		Prompt:  upstream.Prompt{Text: text, MaxTokens: tokens, Seed: 7},
	}
}

// readText reads a stream to its end and returns its text and last token.
func readText(stream *upstream.Stream) (text string, last upstream.Token, err error) {
	defer stream.Close()
	for {
		token, err := stream.Next()
		if err == io.EOF {
			return text, last, nil
		}
		if err != nil {
			return text, last, err
		}
		text += token.Text
		last = token
	}
}

func TestStreamIsComplete(t *testing.T) {
	client := upstream.New(serve(t, new(standin.Engine)), upstream.Options{})
	asked := request("Gondola end header for store 12", 40)
	for _, wantCached := range []ident.Tokens{0, 8} {
		asked.Request = ident.NewAttemptID()
		stream, err := client.Generate(t.Context(), asked)
		if err != nil {
			t.Fatal(err)
		}
		got, last, err := readText(stream)
		if want := standin.Answer(asked.Prompt); got != want || err != nil {
			t.Errorf("got %q, %v, want %q", got, err, want)
		}
		if !last.Done || last.Prompt != 8 || last.Cached != wantCached {
			t.Errorf("got last token %+v, want Done with 8 prompt tokens, %d of them cached", last, wantCached)
		}
	}
}

func TestCrashTruncatesTheStream(t *testing.T) {
	engine := &standin.Engine{CrashMarker: "poison"}
	client := upstream.New(serve(t, engine), upstream.Options{})
	stream, err := client.Generate(t.Context(), request("a poison prompt", 5))
	if err != nil {
		t.Fatal(err)
	}
	got, _, err := readText(stream)
	if !errors.Is(err, io.ErrUnexpectedEOF) || len(got) != 4 {
		t.Errorf("got %q, %v, want one token and ErrUnexpectedEOF", got, err)
	}
	_, err = client.Generate(t.Context(), request("harmless", 5))
	if got := result.CodeOf(err); got != result.OutcomeUnknown {
		t.Errorf("got %v from a crashed engine, want OutcomeUnknown", got)
	}
	engine.Restart()
	if _, err := client.Generate(t.Context(), request("harmless", 5)); err != nil {
		t.Errorf("got %v after Restart, want no error", err)
	}
}

func TestResumedTextIsIdentical(t *testing.T) {
	client := upstream.New(serve(t, new(standin.Engine)), upstream.Options{})
	rapid.Check(t, func(t *rapid.T) {
		asked := request(rapid.String().Draw(t, "text"), ident.Tokens(rapid.IntRange(1, 30).Draw(t, "tokens")))
		want := standin.Answer(asked.Prompt)
		asked.ResumeTokens = ident.Tokens(rapid.IntRange(0, int(asked.Prompt.MaxTokens)).Draw(t, "resume"))
		asked.ResumeText = want[:4*asked.ResumeTokens]
		stream, err := client.Generate(context.Background(), asked)
		if err != nil {
			t.Fatal(err)
		}
		rest, _, err := readText(stream)
		if got := asked.ResumeText + rest; got != want || err != nil {
			t.Errorf("got %q, %v, want %q", got, err, want)
		}
	})
}

func TestWrongContinuationIsRefused(t *testing.T) {
	client := upstream.New(serve(t, new(standin.Engine)), upstream.Options{})
	asked := request("text", 5)
	asked.ResumeTokens = 2
	asked.ResumeText = standin.Answer(asked.Prompt)[:4]
	_, err := client.Generate(t.Context(), asked)
	if got := result.CodeOf(err); got != result.UpstreamFailed {
		t.Errorf("got %v, want UpstreamFailed", got)
	}
}

// blockedEngine returns an engine that blocks before each token until the request
// is cancelled. It sends on sleeping when it starts to wait.
func blockedEngine() (engine *standin.Engine, sleeping chan struct{}) {
	sleeping = make(chan struct{}, 64)
	engine = &standin.Engine{TokensPerSecond: 1}
	engine.Now = new(clock).now
	engine.Sleep = func(ctx context.Context, _ time.Duration) error {
		sleeping <- struct{}{}
		<-ctx.Done()
		return ctx.Err()
	}
	return engine, sleeping
}

func TestCancelStopsARequest(t *testing.T) {
	engine, sleeping := blockedEngine()
	client := upstream.New(serve(t, engine), upstream.Options{})
	asked := request("text", 5)
	stream, err := client.Generate(t.Context(), asked)
	if err != nil {
		t.Fatal(err)
	}
	<-sleeping
	if err := client.Cancel(t.Context(), asked.Request); err != nil {
		t.Fatal(err)
	}
	if _, _, err := readText(stream); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v, want ErrUnexpectedEOF", err)
	}
	if got := engine.Counters().Cancelled; got != 1 {
		t.Errorf("got %d cancelled, want 1", got)
	}
	err = client.Cancel(t.Context(), "absent")
	if got := result.CodeOf(err); got != result.UpstreamFailed {
		t.Errorf("got %v for an unknown request, want UpstreamFailed", got)
	}
}

func TestFenceIsCheckedOrIgnored(t *testing.T) {
	for _, checked := range []bool{true, false} {
		t.Run(fmt.Sprintf("CheckFence %t", checked), func(t *testing.T) {
			engine := &standin.Engine{CheckFence: checked}
			client := upstream.New(serve(t, engine), upstream.Options{})
			newer := upstream.Order{Kind: upstream.LoadModel, Model: "planogram-7b@3", Fence: 9}
			older := upstream.Order{Kind: upstream.LoadModel, Model: "planogram-7b@2", Fence: 8}
			if err := client.Order(t.Context(), newer); err != nil {
				t.Fatal(err)
			}
			err := client.Order(t.Context(), older)
			want := ident.ModelName("planogram-7b@2")
			if checked {
				want = "planogram-7b@3"
				if got := result.CodeOf(err); got != result.StaleFence {
					t.Errorf("got %v for the lower fencing number, want StaleFence", got)
				}
			}
			load, err := client.Load(t.Context())
			if err != nil || load.Model != want {
				t.Errorf("got model %q, %v, want %q", load.Model, err, want)
			}
		})
	}
}

func TestLoadReportLags(t *testing.T) {
	clock := new(clock)
	engine, sleeping := blockedEngine()
	engine.Now = clock.now
	engine.LoadLag = 2 * time.Second
	client := upstream.New(serve(t, engine), upstream.Options{})
	stream, err := client.Generate(t.Context(), request("text", 5))
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	<-sleeping
	for _, want := range []int{0, 1} {
		load, err := client.Load(t.Context())
		if err != nil || load.Running != want || load.LagMs != 2000 {
			t.Errorf("got %+v, %v, want %d running", load, err, want)
		}
		clock.advance(2 * time.Second)
	}
}

func TestExportedPrefixIsImported(t *testing.T) {
	source := new(standin.Engine)
	target := new(standin.Engine)
	from := upstream.New(serve(t, source), upstream.Options{})
	to := upstream.New(serve(t, target), upstream.Options{})
	asked := request("a long planogram", 1)
	stream, err := from.Generate(t.Context(), asked)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := readText(stream); err != nil {
		t.Fatal(err)
	}
	body, size, err := from.Export(t.Context(), "chat-1")
	if err != nil || size <= 0 {
		t.Fatalf("got size %d, %v, want a prefix", size, err)
	}
	defer body.Close()
	if err := to.Import(t.Context(), "chat-1", body); err != nil {
		t.Fatal(err)
	}
	asked.Prompt.Text += ", continued"
	stream, err = to.Generate(t.Context(), asked)
	if err != nil {
		t.Fatal(err)
	}
	if _, last, err := readText(stream); err != nil || last.Cached != 4 {
		t.Errorf("got %+v, %v, want 4 cached tokens", last, err)
	}
	err = to.Import(t.Context(), "chat-2", strings.NewReader(`{"Tokens":9}`))
	if got := result.CodeOf(err); got != result.UpstreamFailed {
		t.Errorf("got %v for a truncated prefix, want UpstreamFailed", got)
	}
}

func TestCacheEventsLagAndHaveGaps(t *testing.T) {
	clock := new(clock)
	engine := &standin.Engine{EventLag: time.Second, EventSkip: 2}
	engine.Now = clock.now
	client := upstream.New(serve(t, engine), upstream.Options{})
	for _, chat := range []ident.ChatID{"a", "b", "c"} {
		asked := request("text", 1)
		asked.Chat = chat
		stream, err := client.Generate(t.Context(), asked)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := readText(stream); err != nil {
			t.Fatal(err)
		}
	}
	if got, err := client.Events(t.Context(), 0); err != nil || len(got) != 0 {
		t.Errorf("got %+v, %v before the lag, want no events", got, err)
	}
	clock.advance(time.Second)
	events, err := client.Events(t.Context(), 0)
	if err != nil || len(events) != 2 || events[0].Number != 1 || events[1].Number != 3 {
		t.Errorf("got %+v, %v, want numbers 1 and 3", events, err)
	}
}

func ExampleAnswer() {
	server := httptest.NewServer(new(standin.Engine))
	defer server.Close()
	client := upstream.New(strings.TrimPrefix(server.URL, "http://"), upstream.Options{})
	prompt := upstream.Prompt{Text: "Header for aisle 4", MaxTokens: 3}
	stream, err := client.Generate(context.Background(), upstream.Generate{Request: "a", Prompt: prompt})
	if err != nil {
		fmt.Println(err)
		return
	}
	text, _, err := readText(stream)
	fmt.Println(text == standin.Answer(prompt), err)
	// Output: true <nil>
}
