package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/upstream"
)

// The media types of answers.
const (
	mediaTypeNDJSON = "application/x-ndjson"
	mediaTypeKV     = "application/octet-stream"
)

// ServeHTTP serves the protocol of the engine, its orders and its counters. After
// a crash it closes each connection without an answer.
func (engine *Engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	engine.once.Do(engine.prepare)
	engine.mu.Lock()
	crashed := engine.crashed
	engine.mu.Unlock()
	if crashed {
		panic(http.ErrAbortHandler)
	}
	engine.mux.ServeHTTP(writer, request)
}

func (engine *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", engine.serveGenerate)
	mux.HandleFunc("POST /v1/cancel", engine.serveCancel)
	mux.HandleFunc("GET /v1/load", engine.serveLoad)
	mux.HandleFunc("GET /v1/events", engine.serveEvents)
	mux.HandleFunc("GET /v1/kv/{chat}", engine.serveExport)
	mux.HandleFunc("PUT /v1/kv/{chat}", engine.serveImport)
	mux.HandleFunc("POST /v1/orders", engine.serveOrder)
	mux.HandleFunc("GET /v1/orders", engine.serveOrders)
	mux.HandleFunc("GET /v1/counters", engine.serveCounters)
	return mux
}

func (engine *Engine) serveGenerate(writer http.ResponseWriter, request *http.Request) {
	var generate upstream.Generate
	if !readJSON(writer, request, &generate) {
		return
	}
	sequence := tokenSequence{seed: seedOf(generate.Prompt)}
	if err := checkGenerate(generate, sequence); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, err := engine.register(request.Context(), generate)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusConflict)
		return
	}
	defer engine.unregister(generate.Request)
	err = engine.batch.enter(ctx, engine.rank(generate.Priority))
	if errors.Is(err, errWaitingFull) {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if err == nil {
		defer engine.batch.leave()
		err = engine.answer(ctx, writer, generate, sequence)
	}
	if err != nil {
		// A truncated answer is recognized only by its closed connection, so that
		// no client mistakes it for a complete one.
		panic(http.ErrAbortHandler)
	}
}

// checkGenerate validates a request. It refuses to continue a text that the engine
// would not have generated, so that wrong resumptions are detected.
func checkGenerate(generate upstream.Generate, sequence tokenSequence) error {
	switch {
	case generate.Request == "":
		return errors.New("Request is empty")
	case generate.Prompt.MaxTokens < 1:
		return errors.New("Prompt.MaxTokens is below 1")
	case generate.ResumeTokens < 0 || generate.ResumeTokens > generate.Prompt.MaxTokens:
		return errors.New("ResumeTokens is out of range")
	case generate.ResumeText != sequence.firstTokens(generate.ResumeTokens):
		return errors.Newf("ResumeText is not the first %d tokens of the answer", generate.ResumeTokens)
	}
	return nil
}

// answer prefills the prompt and writes the tokens that follow
// generate.ResumeTokens.
func (engine *Engine) answer(ctx context.Context, writer http.ResponseWriter, generate upstream.Generate, sequence tokenSequence) error {
	cached, err := engine.prefill(ctx, generate)
	if err != nil {
		return err
	}
	writer.Header().Set("Content-Type", mediaTypeNDJSON)
	tokens := &tokenWriter{encoder: json.NewEncoder(writer), flush: http.NewResponseController(writer).Flush}
	at := engine.now()
	for index := generate.ResumeTokens + 1; index <= generate.Prompt.MaxTokens; index++ {
		at = at.Add(engine.tokenTime())
		if err := engine.flushAndWait(ctx, at, tokens); err != nil {
			return err
		}
		if err := tokens.write(upstream.Token{Index: index, Text: sequence.token(index)}); err != nil {
			return err
		}
		engine.countToken()
		if index == generate.ResumeTokens+tokensBeforeCrash && engine.hasCrashMarker(generate.Prompt) {
			_ = tokens.flush()
			engine.triggerCrash()
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	engine.countAnswer()
	return tokens.write(upstream.Token{
		Index:  generate.Prompt.MaxTokens,
		Done:   true,
		Cached: cached,
		Prompt: CountTokens(generate.Prompt.Text),
	})
}

// flushAndWait flushes the tokens written so far and waits until the time at, when
// the next token is due. If that time has passed, it does neither.
func (engine *Engine) flushAndWait(ctx context.Context, at time.Time, tokens *tokenWriter) error {
	if !at.After(engine.now()) {
		return ctx.Err()
	}
	if err := tokens.flush(); err != nil {
		return err
	}
	return engine.sleepUntil(ctx, at)
}

// tokenWriter writes tokens as JSON, one per line.
type tokenWriter struct {
	encoder *json.Encoder
	flush   func() error
}

func (tokenWriter *tokenWriter) write(token upstream.Token) error {
	return tokenWriter.encoder.Encode(token)
}

func (engine *Engine) countToken() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.counters.Tokens++
}

func (engine *Engine) countAnswer() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.counters.Answers++
}

func (engine *Engine) serveCancel(writer http.ResponseWriter, request *http.Request) {
	var cancel upstream.Cancel
	if !readJSON(writer, request, &cancel) {
		return
	}
	if !engine.cancel(cancel.Request) {
		http.NotFound(writer, request)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

func (engine *Engine) serveLoad(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, engine.load())
}

func (engine *Engine) serveEvents(writer http.ResponseWriter, request *http.Request) {
	after, err := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	engine.mu.Lock()
	events := engine.events.since(after, engine.now().Add(-engine.EventLag))
	engine.mu.Unlock()
	writer.Header().Set("Content-Type", mediaTypeNDJSON)
	encoder := json.NewEncoder(writer)
	for _, event := range events {
		_ = encoder.Encode(event)
	}
}

func (engine *Engine) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var order upstream.Order
	if !readJSON(writer, request, &order) {
		return
	}
	accepted, err := engine.order(context.WithoutCancel(request.Context()), order)
	switch {
	case !accepted:
		http.Error(writer, "fencing number is below the highest one received", http.StatusConflict)
	case err != nil:
		http.Error(writer, err.Error(), http.StatusInternalServerError)
	default:
		writer.WriteHeader(http.StatusNoContent)
	}
}

func (engine *Engine) serveOrders(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, engine.Orders())
}

func (engine *Engine) serveCounters(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, engine.Counters())
}

func (engine *Engine) serveExport(writer http.ResponseWriter, request *http.Request) {
	engine.mu.Lock()
	found, ok := engine.cache.get(ident.ChatID(request.PathValue("chat")))
	if ok {
		engine.counters.Exports++
	}
	engine.mu.Unlock()
	if !ok {
		http.NotFound(writer, request)
		return
	}
	writer.Header().Set("Content-Type", mediaTypeKV)
	body := encodeKV(found)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = writer.Write(body)
}

func (engine *Engine) serveImport(writer http.ResponseWriter, request *http.Request) {
	imported, err := decodeKV(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	engine.cachePrefix(ident.ChatID(request.PathValue("chat")), imported)
	engine.mu.Lock()
	engine.counters.Imports++
	engine.mu.Unlock()
	writer.WriteHeader(http.StatusNoContent)
}
