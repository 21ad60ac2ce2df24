package upstream

import "github.com/hickoryhead/hickoryhead/ident"

// Prompt is the body that a caller sends to a route of a model.
type Prompt struct {
	Text      string       `validate:"required"`
	MaxTokens ident.Tokens `validate:"gte=1,lte=65536"`
	// Seed makes the response reproducible.
	Seed uint64 `json:",omitempty"`
}

// Generate is the body of POST /v1/generate to an engine. The response is a stream
// of Token values, one JSON value per line.
type Generate struct {
	Request  ident.AttemptID
	Chat     ident.ChatID
	Model    ident.ModelName
	Priority ident.Priority
	Prompt   Prompt
	// ResumeText is the text that was already generated. The engine continues
	// after it with token number ResumeTokens+1.
	ResumeText   string       `json:",omitempty"`
	ResumeTokens ident.Tokens `json:",omitempty"`
}

// Token is one line of an engine's response. The last line has Done set; a stream
// that ends without such a line is truncated.
type Token struct {
	Index  ident.Tokens
	Text   string       `json:",omitempty"`
	Done   bool         `json:",omitempty"`
	Cached ident.Tokens `json:",omitempty"`
	Prompt ident.Tokens `json:",omitempty"`
}

// Load is the response to GET /v1/load.
type Load struct {
	Running int
	Waiting int
	// Limit is the maximum number of requests that the engine batches.
	Limit int
	// LagMs is the age of the other values.
	LagMs int64
	Model ident.ModelName
}

// Cancel is the body of POST /v1/cancel to an engine.
type Cancel struct {
	Request ident.AttemptID
}

// CacheEvent is one line of the response to GET /v1/events?after=N. Events arrive
// with a delay, and a gap in Number means that events were lost.
type CacheEvent struct {
	Number  uint64
	Chat    ident.ChatID
	Evicted bool
	Tokens  ident.Tokens
}

// OrderKind is the operation that an order requests.
type OrderKind string

// The kinds of orders.
const (
	LoadModel   OrderKind = "LoadModel"
	UnloadModel OrderKind = "UnloadModel"
)

// Order is the body of POST /v1/orders to an engine. Some engines refuse an order
// with an outdated fencing number with status 409; others don't check it.
type Order struct {
	Kind  OrderKind
	Model ident.ModelName
	Fence ident.FencingNumber
}

// The KV cache of a chat's prefix is read with GET /v1/kv/{chat} and written with
// PUT /v1/kv/{chat}, as opaque bytes. A plain service receives
// POST /v1/call/{operation} with the caller's body unchanged and the caller's
// Idempotency-Key header. Its response is passed on with any status.
