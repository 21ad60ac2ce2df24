package load

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/upstream"
)

// Values of a Workload whose fields are zero.
const (
	DefaultRequests                       = 1000
	DefaultRequestsPerSecond              = 50
	DefaultChats                          = 500
	DefaultReturnExponent                 = 1.1
	DefaultMaxTurns                       = 32
	DefaultPromptTokens      ident.Tokens = 400
	DefaultTurnTokens        ident.Tokens = 40
	DefaultAnswerTokens      ident.Tokens = 32
)

// bytesPerToken is the length in bytes of one token of a prompt.
const bytesPerToken = 4

// Workspace is one workspace of a workload, with its share of the chats against
// the other workspaces.
type Workspace struct {
	ID    ident.WorkspaceID
	Share float64
}

// Surge multiplies the requests of one workspace for a time. From and Until
// count from the first request of the run.
type Surge struct {
	Workspace ident.WorkspaceID
	// Factor is the multiple of the workspace's requests, above 1.
	Factor float64
	From   time.Duration
	Until  time.Duration
}

// Workload describes the requests of a run. A zero field takes its default.
type Workload struct {
	Seed uint64
	// Requests bounds the number of requests.
	Requests int
	// RequestsPerSecond is the mean rate of the Poisson arrivals, without the
	// surge.
	RequestsPerSecond float64
	// Chats is the number of chats that return, by a Zipf law with the
	// exponent ReturnExponent, which is above 1.
	Chats          int
	ReturnExponent float64
	// MaxTurns is the number of requests after which a chat is replaced by a
	// new one.
	MaxTurns int
	// Workspaces own the chats. At least one is needed.
	Workspaces []Workspace
	Surge      *Surge
	// PromptTokens is the length of a chat's first prompt, TurnTokens what
	// each further turn adds, and AnswerTokens the length of an answer.
	PromptTokens ident.Tokens
	TurnTokens   ident.Tokens
	AnswerTokens ident.Tokens
	// WholeShare is the share of the prompts, from 0 to 1, whose answer is
	// asked for as one JSON value and not as events.
	WholeShare float64
	// ConfirmShare and StatusShare are the shares of all requests that go to
	// the plain service: confirmations, which must not run twice, and
	// readings, which may.
	ConfirmShare float64
	StatusShare  float64
	// RepeatShare is the share of the confirmations that repeat the key and
	// the body of an earlier one.
	RepeatShare float64
}

// withDefaults returns the workload with its zero fields filled in.
func (workload Workload) withDefaults() Workload {
	workload.Requests = orDefault(workload.Requests, DefaultRequests)
	workload.RequestsPerSecond = orDefault(workload.RequestsPerSecond, DefaultRequestsPerSecond)
	workload.Chats = orDefault(workload.Chats, DefaultChats)
	workload.ReturnExponent = orDefault(workload.ReturnExponent, DefaultReturnExponent)
	workload.MaxTurns = orDefault(workload.MaxTurns, DefaultMaxTurns)
	workload.PromptTokens = orDefault(workload.PromptTokens, DefaultPromptTokens)
	workload.TurnTokens = orDefault(workload.TurnTokens, DefaultTurnTokens)
	workload.AnswerTokens = orDefault(workload.AnswerTokens, DefaultAnswerTokens)
	return workload
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// check returns what is wrong with a workload whose defaults are filled in.
func (workload *Workload) check() error {
	switch {
	case len(workload.Workspaces) == 0:
		return errors.New("workload: Workspaces is empty")
	case workload.Requests < 0 || workload.Chats < 0 || workload.MaxTurns < 0:
		return errors.New("workload: a count is negative")
	case !(workload.RequestsPerSecond > 0) || math.IsInf(workload.RequestsPerSecond, 0):
		return errors.Newf("workload: RequestsPerSecond is %v, want above 0", workload.RequestsPerSecond)
	case !(workload.ReturnExponent > 1):
		return errors.Newf("workload: ReturnExponent is %v, want above 1", workload.ReturnExponent)
	case !(workload.ConfirmShare >= 0 && workload.StatusShare >= 0 && workload.ConfirmShare+workload.StatusShare <= 1):
		return errors.New("workload: ConfirmShare and StatusShare want to be from 0 to 1 together")
	}
	for _, workspace := range workload.Workspaces {
		if !ident.Valid(workspace.ID) || !(workspace.Share > 0) {
			return errors.Newf("workload: workspace %q with share %v, want a valid name and a share above 0", workspace.ID, workspace.Share)
		}
	}
	return nil
}

// Prompt returns the body of turn number turn, from 1, of a chat. Each turn's
// text begins with the text of the turn before it.
func (workload *Workload) Prompt(chat ident.ChatID, turn int) upstream.Prompt {
	tokens := workload.PromptTokens + ident.Tokens(turn-1)*workload.TurnTokens
	return upstream.Prompt{
		Text:      filler(string(chat), int(tokens)*bytesPerToken),
		MaxTokens: workload.AnswerTokens,
		Seed:      workload.Seed,
	}
}

// filler returns length bytes of text that differs between names from the start.
func filler(name string, length int) string {
	var text strings.Builder
	for line := 1; text.Len() < length; line++ {
		text.WriteString(name)
		text.WriteString(" line ")
		text.WriteString(strconv.Itoa(line))
		text.WriteString(": gondola end header, four shelves, two facings.\n")
	}
	return text.String()[:length]
}
