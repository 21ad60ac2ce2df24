package explain

import (
	"bytes"
	"encoding/json"
	"strings"
	"time"
)

// Line is one line of a router's log, with the attributes that explain
// requests.
type Line struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	VM      string

	// Attributes of requests and their attempts.
	Attempt       string
	Status        int
	Code          string
	Cause         string
	Ms            int64
	ConfigVersion uint64
	Route         string
	Workspace     string
	Upstream      string
	Reason        string
	Load          int
	Unread        int
	MeanLoad      float64
	Tried         int
	FirstMs       int64
	// ExpectedMs is the predicted time to the first event, or zero if there was none.
	ExpectedMs int64
	Prompt     int
	Started    bool
	CallerLeft bool
	// EndReason is why the request got no complete answer, or empty if it got one, CloseReason
	// why the router closed its connection, if it did, and ReadError and WriteError the last
	// errors of the connection. VersionInForce had been in force for InForceMs then, and the
	// process had last stood still for StallMs, until StallAgoMs before.
	EndReason      string
	CloseReason    string
	ReadError      string
	WriteError     string
	VersionInForce uint64
	InForceMs      int64
	StallMs        int64
	StallAgoMs     int64
	// Fingerprint is the same for all attempts of one request.
	Fingerprint string
	// Part is the ID of the part of the prompt for which the request was refused, and
	// PartFingerprint the fingerprint under which its strikes are logged. Both are
	// empty unless a part was the reason.
	Part            string
	PartFingerprint string

	// Attributes of the router's other events.
	Outcome string
	Leaving bool
	Gone    bool
	Source  string
	Table   string
	Error   string
	// OpenedAt is when a silent connection was opened, and OutageBegin when the outage
	// began in which the row of an upstream may have expired.
	OpenedAt    time.Time
	OutageBegin time.Time
	// Sequence and Incarnation are those of a row that was written late, KnownSequence and
	// KnownIncarnation what its upstream had said later. KnownGone is set if it had left.
	Sequence         int64
	Incarnation      int64
	KnownSequence    int64
	KnownIncarnation int64
	KnownGone        bool
	// Strikes is how many upstreams crashed under the request, or the part, so far.
	// Kind says which of the two the strike is of; empty means a request.
	Strikes int
	Kind    string
	// PerSecond is the limit that an upstream named, RestMs the rest that one asked for, and
	// RemainingMs how much longer one is cold.
	PerSecond   float64
	RestMs      int64
	RemainingMs int64
	// HeldBytes is what a router held of bodies and answers, of at most HeldLimit, when it
	// refused RefusedCount requests for want of memory. ClosedCount connections of Listener
	// were closed as it had ConnLimit, the last for LastReason.
	HeldBytes    int64
	HeldLimit    int64
	RefusedCount int
	Listener     string
	ConnLimit    int
	ClosedCount  int
	LastReason   string

	// Attributes of a request that was refused for lack of room: the share of the pool that was
	// used, the requests for which it had room, this router's part of that, the share of the pool
	// that the request could use, the time until an answer could have begun, and when the caller
	// was told to return. Refused counts those of a shortage.
	Usage        float64
	Room         float64
	RoomPart     float64
	MayUse       float64
	WaitMs       int64
	RetryAfterMs int64
	Refused      int

	// Attributes of streams. Version is the software version to which a request was
	// bound, VersionSource how it was known, and VersionAgeMs how long before the
	// stream had begun. TakesUp is the attempt that a take-up named, and Versions are
	// the upstreams of each version when it was refused.
	Version       string
	VersionSource string
	VersionAgeMs  int64
	TakesUp       string
	Cell          int
	Versions      map[string]int
	// Software and BeganSoftware are the versions of the upstream that continues a
	// stream and of Began, which began it.
	Software      string
	Began         string
	BeganSoftware string
	// AllowedRegions are those to which a refused request was restricted.
	AllowedRegions []string
	// Zone is one whose evacuation began or ended at Revision of the store, with so many
	// Upstreams.
	Zone      string
	Upstreams int
	// Service, Revision, Settled and Cells describe a split.
	Service  string
	Revision uint64
	Settled  bool
	Cells    map[string]int
}

// The log messages that explain requests.
const (
	routerStarted    = "Started."
	routerStopped    = "Stopped."
	requestFinished  = "forward: Request finished."
	answerUnwritten  = "forward: Request ended without an answer."
	routerPaused     = "The process was paused, requests wait until it has caught up."
	attemptFailed    = "forward: Attempt failed."
	upstreamEjected  = "forward: Upstream set aside."
	upstreamChanged  = "follow: Upstream changed."
	storeUnreachable = "follow: Store not reached."
	storeSilent      = "Connection to the store is silent, a new one is used."
	upstreamKept     = "follow: Upstream kept, its row may have expired in an outage of the store."
	rowOutdated      = "follow: Row of an upstream not used, it was written late."
	configInForce    = "follow: Configuration in force."
	strikeCounted    = "strike: Strike counted, the upstream broke off while it ran the request."
	strikeWithdrawn  = "strike: Strike withdrawn, the upstream ran on."
	strikeCleared    = "strike: Strike cleared, the request succeeded."
	trialStarted     = "forward: Request runs alone."
	coldBegan        = "quota: Upstream is cold."
	coldExpected     = "quota: Upstream failed, it is cold once it answers."
	coldEnded        = "quota: Upstream is not cold any more."
	limitNamed       = "forward: Upstream named a limit."
	limitLifted      = "forward: Upstream names no limit any more."
	restAsked        = "forward: Upstream asks for rest."
	leavingSaid      = "forward: Upstream says that it leaves."
	shortageBegan    = "forward: Requests are refused for lack of room."
	shortageEnded    = "forward: No request is refused for lack of room any more."
	streamResumed    = "forward: Stream resumed at another upstream."
	splitAdopted     = "versions: Split adopted."
	zoneEvacuated    = "follow: Zone evacuated."
	evacuationEnded  = "follow: Evacuation of a zone ended."
	memoryFull       = "forward: Memory for bodies and answers is full."
	connsAtBound     = "Connections are at their bound."
)

// Parse returns the log line in text, and false if text contains none. Text
// before the first brace is ignored, except that its last word names the VM of
// a line without one.
func Parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var line Line
	if err := json.Unmarshal(text[start:], &line); err != nil || line.Message == "" {
		return Line{}, false
	}
	if line.VM == "" {
		// A test harness or a log collector may put the host name before the line.
		fields := strings.Fields(string(text[:start]))
		if len(fields) > 0 {
			line.VM = fields[len(fields)-1]
		}
	}
	return line, true
}
