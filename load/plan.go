package load

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// Kind is the kind of a request.
type Kind string

// The kinds of requests.
const (
	// Generate sends a prompt to a model.
	Generate Kind = "Generate"
	// Confirm requests an action of the plain service that must not run twice.
	Confirm Kind = "Confirm"
	// Status requests an operation of the plain service that may run twice.
	Status Kind = "Status"
)

// maxRepeatableKeys is the number of most recent confirmations from which a
// repeated confirmation is drawn.
const maxRepeatableKeys = 64

// maxChatRedraws bounds the number of draws to find a chat of the workspace
// that has the surge.
const maxChatRedraws = 1000

// Arrival is one planned request.
type Arrival struct {
	At        time.Time
	Kind      Kind
	Workspace ident.WorkspaceID
	// Chat and Turn are set only for Generate. Turn counts from 1.
	Chat ident.ChatID
	Turn int
	// Key is set only for Confirm and Status.
	Key ident.IdempotencyKey
	// JSON requests the answer as a single JSON value instead of events.
	JSON bool
}

// Plan generates the requests of a workload in the order of their arrival. The
// same workload and start time give the same requests. It is not safe for
// concurrent use.
type Plan struct {
	workload   Workload
	start      time.Time
	now        time.Time
	count      int
	random     *rand.Rand
	chatZipf   *rand.Zipf
	turns      []int
	keys       []confirmation
	totalShare float64
}

// confirmation is a planned confirmation that later ones may repeat.
type confirmation struct {
	key       ident.IdempotencyKey
	workspace ident.WorkspaceID
}

// Plan validates the workload and returns its plan. The first request arrives
// after start.
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
		chatZipf: rand.NewZipf(random, workload.ZipfExponent, 1, uint64(workload.Chats-1)),
		turns:    make([]int, workload.Chats),
	}
	for _, workspace := range workload.Workspaces {
		plan.totalShare += workspace.Share
	}
	return plan, nil
}

// Next returns the next request, or false after the last one.
func (plan *Plan) Next() (Arrival, bool) {
	if plan.count == plan.workload.Requests {
		return Arrival{}, false
	}
	plan.count++
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

// extraRate returns the number of requests per second that the surge adds at
// the current time of the plan.
func (plan *Plan) extraRate() float64 {
	surge := plan.workload.Surge
	if surge == nil {
		return 0
	}
	elapsed := plan.now.Sub(plan.start)
	if elapsed < surge.From || elapsed >= surge.Until {
		return 0
	}
	index := slices.IndexFunc(plan.workload.Workspaces, func(workspace Workspace) bool { return workspace.ID == surge.Workspace })
	if index < 0 {
		return 0
	}
	share := plan.workload.Workspaces[index].Share / plan.totalShare
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
	arrival.JSON = plan.random.Float64() < plan.workload.WholeShare
}

// drawChat returns the index of the chat that the next request continues. If
// surging is set, the chat belongs to the workspace that has the surge, unless
// none of its chats was drawn within maxChatRedraws draws.
func (plan *Plan) drawChat(surging bool) int {
	chat := int(plan.chatZipf.Uint64())
	for range maxChatRedraws {
		if !surging || plan.owner(chat) == plan.workload.Surge.Workspace {
			break
		}
		chat = int(plan.chatZipf.Uint64())
	}
	return chat
}

// owner returns the workspace of the chat with the given index. Multiples of the
// golden ratio distribute the chats over the workspaces in proportion to their
// shares, both the frequently and the rarely used ones.
func (plan *Plan) owner(chat int) ident.WorkspaceID {
	const goldenRatio = 0.6180339887498949
	position := float64(chat) * goldenRatio
	position = (position - float64(int(position))) * plan.totalShare
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
	if len(plan.keys) > maxRepeatableKeys {
		plan.keys = plan.keys[1:]
	}
}

func (plan *Plan) status(arrival *Arrival, surging bool) {
	arrival.Kind = Status
	arrival.Workspace = plan.owner(plan.drawChat(surging))
	arrival.Key = plan.newKey("status")
}

// newKey returns a key that is unique within the plan and across plans with
// another seed or start time.
func (plan *Plan) newKey(kind string) ident.IdempotencyKey {
	run := strconv.FormatUint(plan.workload.Seed, 36) + "-" + strconv.FormatInt(plan.start.UnixNano(), 36)
	return ident.IdempotencyKey(kind + "-" + run + "-" + strconv.Itoa(plan.count))
}
