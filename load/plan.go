package load

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// Kind is what a request asks for.
type Kind string

// The kinds of requests.
const (
	// Generate asks a model.
	Generate Kind = "Generate"
	// Confirm asks the plain service for an action that must not run twice.
	Confirm Kind = "Confirm"
	// Status asks the plain service for something that may run twice.
	Status Kind = "Status"
)

// maxRepeatable is the number of latest confirmations that may be repeated.
const maxRepeatable = 64

// maxRedraws bounds the search for a chat of the surging workspace.
const maxRedraws = 1000

// Arrival is one planned request.
type Arrival struct {
	At        time.Time
	Kind      Kind
	Workspace ident.WorkspaceID
	// Chat and Turn are set for a Generate.
	Chat ident.ChatID
	Turn int
	// Key is set for a Confirm and a Status.
	Key ident.IdempotencyKey
	// Whole asks for the answer as one JSON value.
	Whole bool
}

// Plan gives the requests of a workload in the order of their arrival. The same
// workload and start give the same requests.
type Plan struct {
	workload Workload
	start    time.Time
	now      time.Time
	made     int
	random   *rand.Rand
	returns  *rand.Zipf
	turns    []int
	keys     []confirmation
	total    float64
}

// confirmation is a key that may be repeated.
type confirmation struct {
	key       ident.IdempotencyKey
	workspace ident.WorkspaceID
}

// Plan returns the plan of the workload whose first request arrives after the
// time start.
func (workload Workload) Plan(start time.Time) (*Plan, error) {
	workload = workload.withDefaults()
	if err := workload.check(); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(workload.Seed, 0))
	plan := &Plan{
		workload: workload,
		start:    start,
		now:      start,
		random:   random,
		returns:  rand.NewZipf(random, workload.ReturnExponent, 1, uint64(workload.Chats-1)),
		turns:    make([]int, workload.Chats),
	}
	for _, workspace := range workload.Workspaces {
		plan.total += workspace.Share
	}
	return plan, nil
}

// Next returns the next request, or false after the last one.
func (plan *Plan) Next() (Arrival, bool) {
	if plan.made == plan.workload.Requests {
		return Arrival{}, false
	}
	plan.made++
	extra := plan.extraRate()
	rate := plan.workload.RequestsPerSecond + extra
	plan.now = plan.now.Add(time.Duration(plan.random.ExpFloat64() / rate * float64(time.Second)))
	surging := plan.random.Float64() < extra/rate
	arrival := Arrival{At: plan.now}
	draw := plan.random.Float64()
	switch {
	case draw < plan.workload.ConfirmShare:
		plan.confirm(&arrival, surging)
	case draw < plan.workload.ConfirmShare+plan.workload.StatusShare:
		plan.status(&arrival, surging)
	default:
		plan.generate(&arrival, surging)
	}
	return arrival, true
}

// extraRate returns the requests a second that the surge adds now.
func (plan *Plan) extraRate() float64 {
	surge := plan.workload.Surge
	if surge == nil {
		return 0
	}
	elapsed := plan.now.Sub(plan.start)
	if elapsed < surge.From || elapsed >= surge.Until {
		return 0
	}
	at := slices.IndexFunc(plan.workload.Workspaces, func(workspace Workspace) bool { return workspace.ID == surge.Workspace })
	if at < 0 {
		return 0
	}
	share := plan.workload.Workspaces[at].Share / plan.total
	return max(0, surge.Factor-1) * share * plan.workload.RequestsPerSecond
}

func (plan *Plan) generate(arrival *Arrival, surging bool) {
	chat := plan.drawChat(surging)
	turn := plan.turns[chat]
	plan.turns[chat]++
	generation := turn / plan.workload.MaxTurns
	arrival.Kind = Generate
	arrival.Workspace = plan.owner(chat)
	arrival.Chat = ident.ChatID("chat-" + strconv.Itoa(chat) + "." + strconv.Itoa(generation))
	arrival.Turn = turn%plan.workload.MaxTurns + 1
	arrival.Whole = plan.random.Float64() < plan.workload.WholeShare
}

// drawChat returns the index of the chat that returns. In a surge it belongs to
// the surging workspace.
func (plan *Plan) drawChat(surging bool) int {
	chat := int(plan.returns.Uint64())
	for range maxRedraws {
		if !surging || plan.owner(chat) == plan.workload.Surge.Workspace {
			break
		}
		chat = int(plan.returns.Uint64())
	}
	return chat
}

// owner returns the workspace of the chat with the index chat. The chats are
// spread over the workspaces in proportion to their shares, the often used ones
// as evenly as the others.
func (plan *Plan) owner(chat int) ident.WorkspaceID {
	const golden = 0.6180339887498949
	position := float64(chat) * golden
	position = (position - float64(int(position))) * plan.total
	for _, workspace := range plan.workload.Workspaces {
		position -= workspace.Share
		if position < 0 {
			return workspace.ID
		}
	}
	return plan.workload.Workspaces[len(plan.workload.Workspaces)-1].ID
}

func (plan *Plan) confirm(arrival *Arrival, surging bool) {
	arrival.Kind = Confirm
	if len(plan.keys) > 0 && plan.random.Float64() < plan.workload.RepeatShare {
		repeated := plan.keys[plan.random.IntN(len(plan.keys))]
		arrival.Key = repeated.key
		arrival.Workspace = repeated.workspace
		return
	}
	arrival.Workspace = plan.owner(plan.drawChat(surging))
	arrival.Key = plan.newKey("confirm")
	plan.keys = append(plan.keys, confirmation{key: arrival.Key, workspace: arrival.Workspace})
	if len(plan.keys) > maxRepeatable {
		plan.keys = plan.keys[1:]
	}
}

func (plan *Plan) status(arrival *Arrival, surging bool) {
	arrival.Kind = Status
	arrival.Workspace = plan.owner(plan.drawChat(surging))
	arrival.Key = plan.newKey("status")
}

// newKey returns a key that no other request of the plan has, and no plan with
// another seed or start.
func (plan *Plan) newKey(kind string) ident.IdempotencyKey {
	run := strconv.FormatUint(plan.workload.Seed, 36) + "-" + strconv.FormatInt(plan.start.UnixNano(), 36)
	return ident.IdempotencyKey(kind + "-" + run + "-" + strconv.Itoa(plan.made))
}
