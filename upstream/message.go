package upstream

import "github.com/hickoryhead/hickoryhead/ident"

// Prompt is the body that a caller sends to a route of a model.
type Prompt struct {
	Text      string       `validate:"required"`
	MaxTokens ident.Tokens `validate:"gte=1,lte=65536"`
	// Seed makes the answer repeatable.
	Seed uint64 `json:",omitempty"`
}

// Generate is the body of POST /v1/generate to an engine. The answer is a
// stream of Token values, one JSON value a line.
type Generate struct {
	Request  ident.AttemptID
	Chat     ident.ChatID
	Model    ident.ModelName
	Priority ident.Priority
	Prompt   Prompt
	// ResumeText is what was already generated: the engine continues after
	// it with token number ResumeTokens+1.
	ResumeText   string       `json:",omitempty"`
	ResumeTokens ident.Tokens `json:",omitempty"`
}

// Token is one line of an engine's answer. The last line has Done set; a
// stream that ends without it was cut.
type Token struct {
	Index  ident.Tokens
	Text   string       `json:",omitempty"`
	Done   bool         `json:",omitempty"`
	Cached ident.Tokens `json:",omitempty"`
	Prompt ident.Tokens `json:",omitempty"`
}

// Load is the answer to GET /v1/load. It lags by LagMs.
type Load struct {
	Running int
	Waiting int
	// Limit is the most requests that the engine batches.
	Limit int
	LagMs int64
	Model ident.ModelName
}

// Cancel is the body of POST /v1/cancel.
type Cancel struct {
	Request ident.AttemptID
}

// CacheEvent is one line of GET /v1/events?after=N. Events come late, and a
// jump of Number is a gap.
type CacheEvent struct {
	Number  uint64
	Chat    ident.ChatID
	Evicted bool
	Tokens  ident.Tokens
}

// OrderKind is what an order asks of an engine.
type OrderKind string

// The kinds of orders.
const (
	LoadModel   OrderKind = "LoadModel"
	UnloadModel OrderKind = "UnloadModel"
)

// Order is the body of POST /v1/orders. Some engines refuse an old fencing
// number with status 409; others ignore it.
type Order struct {
	Kind  OrderKind
	Model ident.ModelName
	Fence ident.FencingNumber
}

// The KV cache of a chat's prefix is read with GET /v1/kv/{chat} and written
// with PUT /v1/kv/{chat}, as opaque bytes. A plain service takes
// POST /v1/call/{operation} with the caller's body as it is, and its
// Idempotency-Key header; whatever it answers is the answer.
