package result

import (
	"fmt"
	"net/http"
	"slices"
)

// Code is the number of a result code. The zero value, OK, means success.
type Code int

// Outcome states what a caller can conclude about its request from a code.
type Outcome string

// Outcomes of a request, as sent to callers.
const (
	Done    Outcome = "Done"
	NotRun  Outcome = "NotRun"
	Running Outcome = "Running"
	Unknown Outcome = "Unknown"
	Failed  Outcome = "Failed"
)

// Codes for invalid requests: nothing was forwarded.
const (
	OK                    Code = 0
	MalformedBody         Code = 1001
	UnknownRoute          Code = 1002
	UnknownWorkspace      Code = 1003
	BodyTooLarge          Code = 1004
	MissingIdempotencyKey Code = 1005
	KeyReused             Code = 1006
	InvalidAffinity       Code = 1007
	InvalidHeader         Code = 1008
	UnknownAnswer         Code = 1009
	AnswerExpired         Code = 1010
	UnknownKey            Code = 1011
	HeadTooLarge          Code = 1012
	AmbiguousFraming      Code = 1013
)

// Codes for refused requests: nothing was run, and the caller may retry.
const (
	OverBound            Code = 2001
	ShareExceeded        Code = 2002
	QueueFull            Code = 2003
	DeadlineUnmeetable   Code = 2004
	PriorityHeld         Code = 2005
	NoUpstream           Code = 2006
	RetryBudgetSpent     Code = 2007
	Leaving              Code = 2008
	NotReady             Code = 2009
	UpstreamUnreachable  Code = 2010
	ClaimUnavailable     Code = 2011
	CrashingRequest      Code = 2012
	CrashingRequestAlone Code = 2013
	UpstreamsAtLimit     Code = 2014
	OriginUnknown        Code = 2015
	VersionGone          Code = 2016
	UpstreamsResting     Code = 2017
	RouterStopping       Code = 2018
	ZonesEvacuated       Code = 2019
	RegionNotAllowed     Code = 2020
	UpstreamsCold        Code = 2021
	PoolFull             Code = 2022
	TooLate              Code = 2023
	WorkspaceAboveUsual  Code = 2024
	MemoryFull           Code = 2025
	BodyTooSlow          Code = 2026
)

// Codes for requests that were run or may have been run.
const (
	OutcomeUnknown  Code = 3001
	AnswerCut       Code = 3002
	UpstreamFailed  Code = 3003
	KeyInProgress   Code = 3004
	DeadlineExpired Code = 3005
	UpstreamCrashed Code = 3006
	CallerLeft      Code = 3007
)

// Codes for responses of the operator API.
const (
	InvalidSettings     Code = 4001
	RevisionConflict    Code = 4002
	NotOwner            Code = 4003
	Unauthenticated     Code = 4004
	PathNotFound        Code = 4005
	PlatformUnavailable Code = 4006
	SettingsLimit       Code = 4007
	CommitUnknown       Code = 4008
)

// Codes for placement orders to engines.
const (
	StaleFence   Code = 5001
	FenceUnknown Code = 5002
	LeaseLapsed  Code = 5003
)

// Entry describes one code. Title is sent to callers, Text appears only on the
// reference page.
type Entry struct {
	Code    Code
	Name    string
	Title   string
	Text    string
	Status  int
	Outcome Outcome
	// RetryOnAnother is set if another upstream may still accept the request.
	RetryOnAnother bool
}

var entries = []Entry{
	{MalformedBody, "MalformedBody", "The body is not valid JSON", "The body must be a single JSON value of the form that the route accepts. Correct it and send it again.", http.StatusBadRequest, NotRun, false},
	{UnknownRoute, "UnknownRoute", "No such route", "No route with this name is in force. Check the name, or wait a few seconds after creating the route.", http.StatusNotFound, NotRun, false},
	{UnknownWorkspace, "UnknownWorkspace", "No such workspace", "The workspace header does not name a workspace that is in force.", http.StatusForbidden, NotRun, false},
	{BodyTooLarge, "BodyTooLarge", "The body is too large", "The body is longer than the route allows.", http.StatusRequestEntityTooLarge, NotRun, false},
	{MissingIdempotencyKey, "MissingIdempotencyKey", "An idempotency key is required", "The route accepts requests that are not idempotent. Send an Idempotency-Key header that is unique to the operation.", http.StatusBadRequest, NotRun, false},
	{KeyReused, "KeyReused", "The idempotency key belongs to another body", "The key was first used with a different body. Nothing was run for this request.", http.StatusUnprocessableEntity, NotRun, false},
	{InvalidAffinity, "InvalidAffinity", "The affinity header is invalid", "The affinity header was modified or has an unknown version. Send it as it was received, or omit it.", http.StatusBadRequest, NotRun, false},
	{InvalidHeader, "InvalidHeader", "A header is invalid", "A request header is missing, too long or malformed. The detail names it.", http.StatusBadRequest, NotRun, false},
	{UnknownAnswer, "UnknownAnswer", "No such answer", "The event ID does not identify an answer of this workspace that can still be resumed.", http.StatusNotFound, Unknown, false},
	{AnswerExpired, "AnswerExpired", "The answer is no longer held", "The answer, or the requested part of it, is no longer in the replay buffer.", http.StatusGone, Unknown, false},
	{UnknownKey, "UnknownKey", "No such API key", "The request has no API key, or one that belongs to no workspace, and its route is not public.", http.StatusUnauthorized, NotRun, false},
	{HeadTooLarge, "HeadTooLarge", "The head is too large", "The request line and the headers are longer than the configuration allows.", http.StatusRequestHeaderFieldsTooLarge, NotRun, false},
	{AmbiguousFraming, "AmbiguousFraming", "The request is not in the form of HTTP/1.1", "A line of the head, of a chunk or of the trailers does not have the form that RFC 9112 defines, or the request specifies its length in more than one way, so that its end is ambiguous. Send either a Content-Length header or a chunked body, and no folded lines.", http.StatusBadRequest, NotRun, false},

	{OverBound, "OverBound", "Every upstream tried is at its load bound", "Nothing was run. Retry after the time in Retry-After.", http.StatusServiceUnavailable, NotRun, true},
	{ShareExceeded, "ShareExceeded", "The workspace is at its share", "The upstream is under contention and the workspace already uses its weighted share of it. Nothing was run.", http.StatusTooManyRequests, NotRun, true},
	{QueueFull, "QueueFull", "The queue is full", "The upstream's queue has no room for this priority. Nothing was run.", http.StatusServiceUnavailable, NotRun, true},
	{DeadlineUnmeetable, "DeadlineUnmeetable", "The deadline cannot be met", "The request would not start before its deadline, so it was refused immediately. Nothing was run.", http.StatusServiceUnavailable, NotRun, true},
	{PriorityHeld, "PriorityHeld", "The priority is held back", "The remaining capacity is reserved for higher priorities. Nothing was run.", http.StatusServiceUnavailable, NotRun, true},
	{NoUpstream, "NoUpstream", "No upstream serves the route", "No live upstream of the route's model or service is known. Nothing was run.", http.StatusServiceUnavailable, NotRun, false},
	{RetryBudgetSpent, "RetryBudgetSpent", "The retry budget is spent", "Retries are limited to a share of recent traffic, and that share is used up. Nothing was run.", http.StatusServiceUnavailable, NotRun, false},
	{Leaving, "Leaving", "The upstream is leaving", "The upstream finishes its running requests and accepts no new ones. Nothing was run.", http.StatusServiceUnavailable, NotRun, true},
	{NotReady, "NotReady", "The daemon is not ready", "The daemon does not yet have a settings revision that it may serve. Nothing was run.", http.StatusServiceUnavailable, NotRun, true},
	{UpstreamUnreachable, "UpstreamUnreachable", "The upstream could not be reached", "No connection could be opened, so nothing was sent. Nothing was run.", http.StatusServiceUnavailable, NotRun, true},
	{ClaimUnavailable, "ClaimUnavailable", "The claim could not be recorded", "The platform's table did not confirm the claim before the deadline, so the request was abandoned and will not be run later. Nothing was run.", http.StatusServiceUnavailable, NotRun, false},
	{CrashingRequest, "CrashingRequest", "The request crashes upstreams", "Upstreams crashed while running this request, so it is refused for now. Nothing was run this time. An entry router answers 429, which callers of the users' platform take as not run, and names in Retry-After when it may run alone again.", http.StatusUnprocessableEntity, NotRun, false},
	{CrashingRequestAlone, "CrashingRequestAlone", "The request may only run alone", "Upstreams crashed while running this request. It may run only on the upstream designated for it, without other requests, and behind an entry router while others serve. Nothing was run. Retry after the time in Retry-After.", http.StatusServiceUnavailable, NotRun, true},
	{UpstreamsAtLimit, "UpstreamsAtLimit", "Every upstream is at the limit that it names", "The upstreams of the route take fewer requests a second than arrive, by what they say. Nothing was run. Retry after the time in Retry-After.", http.StatusServiceUnavailable, NotRun, true},
	{OriginUnknown, "OriginUnknown", "The software version that began the stream is unknown", "A stream goes on only at the software version that began it, and this router can't tell which one did. Nothing was run. Another router may know. With Retry-After, this one will by then; without, send the request as a new one.", http.StatusServiceUnavailable, NotRun, false},
	{VersionGone, "VersionGone", "No upstream of the version that began the stream is left", "A stream goes on only at the software version that began it, and no upstream with that version takes requests. Nothing was run. Send the request as a new one.", http.StatusServiceUnavailable, NotRun, false},
	{UpstreamsResting, "UpstreamsResting", "Every upstream has asked for rest", "The upstreams of the route have turned requests of this router away and asked it to send none for a time. Nothing was run. Retry after the time in Retry-After.", http.StatusServiceUnavailable, NotRun, true},
	{RouterStopping, "RouterStopping", "The router stops", "The request was read so late in a planned stop of the router that its answer might be cut. Nothing was run. Send it again over a new connection, which reaches another router.", http.StatusServiceUnavailable, NotRun, true},
	{ZonesEvacuated, "ZonesEvacuated", "Every upstream is in an evacuated zone", "Operators have evacuated the availability zones of all upstreams that could run the request, so it was sent to none. Nothing was run. Retry after the time in Retry-After.", http.StatusServiceUnavailable, NotRun, true},
	{RegionNotAllowed, "RegionNotAllowed", "No upstream is in an allowed region", "The configuration restricts the route, the workspace or both to regions in which no upstream takes requests. Nothing was run. Retry after the time in Retry-After.", http.StatusServiceUnavailable, NotRun, false},
	{UpstreamsCold, "UpstreamsCold", "Every upstream is cold", "The upstreams of the route have just started and take few requests a second for a while. Nothing was run. Retry after the time in Retry-After.", http.StatusServiceUnavailable, NotRun, true},
	{PoolFull, "PoolFull", "The upstreams have no room", "The upstreams of the service have no room for the request: their slots, their memory or their time for prompts are taken, or left to more urgent requests. Nothing was run. Retry after the time in Retry-After.", http.StatusServiceUnavailable, NotRun, false},
	{TooLate, "TooLate", "No answer is possible in time", "No upstream would begin its answer before the deadline of the request, so it was refused immediately. Nothing was run.", http.StatusServiceUnavailable, NotRun, false},
	{WorkspaceAboveUsual, "WorkspaceAboveUsual", "The workspace sends more than usual", "The upstreams of the service have no room for what the workspace sends beyond its usual, since other workspaces need it. Nothing was run. Retry after the time in Retry-After.", http.StatusServiceUnavailable, NotRun, false},
	{MemoryFull, "MemoryFull", "No memory is left for the body", "The router holds as many bodies and answers as its memory allows, and this body was the largest and slowest, or made too little progress. Nothing was run. Retry after the time in Retry-After.", http.StatusServiceUnavailable, NotRun, true},
	{BodyTooSlow, "BodyTooSlow", "The body arrives too slowly", "The body arrived at less than the minimum rate, which callers on the slowest supported links exceed many times over. Nothing was run. Send it again.", http.StatusServiceUnavailable, NotRun, true},

	{OutcomeUnknown, "OutcomeUnknown", "The outcome is unknown", "The upstream may or may not have run the request, and this cannot be determined. See docs/OUTCOMES.md.", http.StatusBadGateway, Unknown, false},
	{AnswerCut, "AnswerCut", "The answer was cut", "The upstream stopped in the middle of the answer, and the answer could not be continued. The part that was received is incomplete.", http.StatusBadGateway, Failed, false},
	{UpstreamFailed, "UpstreamFailed", "The upstream failed", "The upstream ran the request and reported a failure, or stopped responding while running an idempotent request.", http.StatusBadGateway, Failed, false},
	{KeyInProgress, "KeyInProgress", "The request is running", "An earlier request with this idempotency key is still running. Retry after the time in Retry-After.", http.StatusConflict, Running, false},
	{DeadlineExpired, "DeadlineExpired", "The deadline passed", "The request was still running at its deadline.", http.StatusGatewayTimeout, Unknown, false},

	{UpstreamCrashed, "UpstreamCrashed", "The upstream was lost while it ran the request", "The connection to the upstream broke while it was running an idempotent request. Until the request succeeds, it is tracked as one that may crash upstreams.", http.StatusBadGateway, Failed, false},

	{CallerLeft, "CallerLeft", "The caller left", "The caller closed its connection before the answer was complete, and the request was cancelled.", http.StatusBadGateway, Unknown, false},

	{InvalidSettings, "InvalidSettings", "The settings are invalid", "The detail names the path, the value and what is allowed. Nothing was changed.", http.StatusUnprocessableEntity, NotRun, false},
	{RevisionConflict, "RevisionConflict", "The revision has moved on", "Another operator's change was accepted first. Read the current settings and try again. Nothing was changed.", http.StatusPreconditionFailed, NotRun, false},
	{NotOwner, "NotOwner", "The path belongs to another team", "A team may change only its own subtree. Nothing was changed.", http.StatusForbidden, NotRun, false},
	{Unauthenticated, "Unauthenticated", "The credential is not accepted", "Send the team's credential as a bearer token.", http.StatusUnauthorized, NotRun, false},
	{PathNotFound, "PathNotFound", "No setting at this path", "There is no setting at the path. Nothing was changed.", http.StatusNotFound, NotRun, false},
	{PlatformUnavailable, "PlatformUnavailable", "The platform's store is unavailable", "The platform's table or object store did not respond. No change is known to have been made.", http.StatusServiceUnavailable, NotRun, false},
	{SettingsLimit, "SettingsLimit", "A limit of the settings is exceeded", "The change is too large, or the subtree contains too many settings. Nothing was changed.", http.StatusRequestEntityTooLarge, NotRun, false},
	{CommitUnknown, "CommitUnknown", "The commit's answer was lost", "The change may have been accepted. Send it again with the same change ID: it is accepted at most once.", http.StatusBadGateway, Unknown, false},

	{StaleFence, "StaleFence", "The fencing number is old", "A newer holder of the lease has issued orders. Nothing was done.", http.StatusConflict, NotRun, false},
	{FenceUnknown, "FenceUnknown", "The current fencing number is not known yet", "The sidecar has restarted and has not read the current fencing number. Nothing was done.", http.StatusServiceUnavailable, NotRun, false},
	{LeaseLapsed, "LeaseLapsed", "The lease has lapsed", "The holder's lease expired before it acted. Nothing was done.", http.StatusConflict, NotRun, false},
}

var byCode = indexEntries(entries)

func indexEntries(entries []Entry) map[Code]Entry {
	index := make(map[Code]Entry, len(entries))
	for _, entry := range entries {
		index[entry.Code] = entry
	}
	return index
}

// Entries returns a copy of the registry, in the order of the codes.
func Entries() []Entry {
	return slices.Clone(entries)
}

// Lookup returns the entry of code and whether code is registered.
func Lookup(code Code) (Entry, bool) {
	entry, found := byCode[code]
	return entry, found
}

// String returns the code as sent to callers, such as "HH2001".
func (code Code) String() string {
	return fmt.Sprintf("HH%04d", int(code))
}

// Name returns the name of the code as used in metrics and logs. For an
// unregistered code it returns the same as String.
func (code Code) Name() string {
	if code == OK {
		return "OK"
	}
	entry, found := byCode[code]
	if !found {
		return code.String()
	}
	return entry.Name
}

// Status returns the HTTP status of the code, 500 if code is not registered.
func (code Code) Status() int {
	if code == OK {
		return http.StatusOK
	}
	entry, found := byCode[code]
	if !found {
		return http.StatusInternalServerError
	}
	return entry.Status
}

// Outcome returns the outcome that the code implies, Unknown if code is not
// registered.
func (code Code) Outcome() Outcome {
	if code == OK {
		return Done
	}
	entry, found := byCode[code]
	if !found {
		return Unknown
	}
	return entry.Outcome
}

// RetryOnAnother reports whether another upstream may still accept the request.
func (code Code) RetryOnAnother() bool {
	return byCode[code].RetryOnAnother
}
