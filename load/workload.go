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

// Defaults for the zero fields of a Workload.
const (
	DefaultRequests                       = 1000
	DefaultRequestsPerSecond              = 50
	DefaultChats                          = 500
	DefaultZipfExponent                   = 1.1
	DefaultMaxTurns                       = 32
	DefaultPromptTokens      ident.Tokens = 400
	DefaultTurnTokens        ident.Tokens = 40
	DefaultAnswerTokens      ident.Tokens = 32
)

// bytesPerToken is the length in bytes of one token of a prompt.
const bytesPerToken = 4

// Workspace is one workspace of a workload. Share is its weight: a workspace
// owns Share divided by the sum of all shares of the chats.
type Workspace struct {
	ID    ident.WorkspaceID
	Share float64
}

// Surge multiplies the request rate of one workspace for a period. From and
// Until are measured from the start of the run.
type Surge struct {
	Workspace ident.WorkspaceID
	// Factor multiplies the workspace's request rate. It must be above 1.
	Factor float64
	From   time.Duration
	Until  time.Duration
}

// Workload describes the requests of a run. Zero fields that have a default
// take it.
type Workload struct {
	Seed uint64
	// Requests is the number of planned requests.
	Requests int
	// RequestsPerSecond is the mean rate of the Poisson arrivals, excluding
	// those that the surge adds.
	RequestsPerSecond float64
	// Chats is the number of concurrent chats. Each prompt continues one of
	// them, drawn from a Zipf distribution with the exponent ZipfExponent,
	// which must be above 1.
	Chats        int
	ZipfExponent float64
	// MaxTurns is the number of turns after which a new chat replaces a chat.
	MaxTurns int
	// Workspaces lists the workspaces that own the chats. At least one is
	// required.
	Workspaces []Workspace
	Surge      *Surge
	// PromptTokens is the length of a chat's first prompt, TurnTokens the
	// number of tokens that each further turn adds, and AnswerTokens the
	// length of an answer.
	PromptTokens ident.Tokens
	TurnTokens   ident.Tokens
	AnswerTokens ident.Tokens
	// WholeShare is the share of the prompts, from 0 to 1, that request the
	// answer as a single JSON value instead of events.
	WholeShare float64
	// ConfirmShare and StatusShare are the shares of all requests that go to
	// the plain service: confirmations, which must not run twice, and status
	// requests, which may.
	ConfirmShare float64
	StatusShare  float64
	// RepeatShare is the share of the confirmations that repeat the key and
	// the body of an earlier confirmation.
	RepeatShare float64
}

// withDefaults returns the workload with defaults for its zero fields.
func (workload Workload) withDefaults() Workload {
	workload.Requests = orDefault(workload.Requests, DefaultRequests)
	workload.RequestsPerSecond = orDefault(workload.RequestsPerSecond, DefaultRequestsPerSecond)
	workload.Chats = orDefault(workload.Chats, DefaultChats)
	workload.ZipfExponent = orDefault(workload.ZipfExponent, DefaultZipfExponent)
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

// check validates a workload that was returned by withDefaults.
func (workload *Workload) check() error {
	switch {
	case len(workload.Workspaces) == 0:
		return errors.New("workload: Workspaces is empty")
	case workload.Requests < 0 || workload.Chats < 0 || workload.MaxTurns < 0:
		return errors.Newf("workload: Requests is %d, Chats %d and MaxTurns %d, want none below 0", workload.Requests, workload.Chats, workload.MaxTurns)
	case !(workload.RequestsPerSecond > 0) || math.IsInf(workload.RequestsPerSecond, 0):
		return errors.Newf("workload: RequestsPerSecond is %v, want a finite value above 0", workload.RequestsPerSecond)
	case !(workload.ZipfExponent > 1):
		return errors.Newf("workload: ZipfExponent is %v, want above 1", workload.ZipfExponent)
	case !(workload.ConfirmShare >= 0 && workload.StatusShare >= 0 && workload.ConfirmShare+workload.StatusShare <= 1):
		return errors.Newf("workload: ConfirmShare is %v and StatusShare %v, want neither below 0 and a sum of at most 1", workload.ConfirmShare, workload.StatusShare)
	}
	for _, workspace := range workload.Workspaces {
		if !ident.Valid(workspace.ID) || !(workspace.Share > 0) {
			return errors.Newf("workload: workspace %q has share %v, want a valid ID and a share above 0", workspace.ID, workspace.Share)
		}
	}
	return nil
}

// Prompt returns the request body for a turn of a chat; turns count from 1. The
// text of each turn begins with the text of the previous turn.
func (workload *Workload) Prompt(chat ident.ChatID, turn int) upstream.Prompt {
	tokens := workload.PromptTokens + ident.Tokens(turn-1)*workload.TurnTokens
	return upstream.Prompt{
		Text:      filler(string(chat), int(tokens)*bytesPerToken),
		MaxTokens: workload.AnswerTokens,
		Seed:      workload.Seed,
	}
}

// filler returns length bytes of text. The texts of two names differ within their
// first line, so that different chats share almost no prefix.
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
