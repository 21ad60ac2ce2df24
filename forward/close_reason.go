package forward

// CloseReason says why the router closes the connection of a caller. A close at the bound has
// the reason "bound-" and its BoundReason.
type CloseReason string

// The reasons of closes that are not made at the bound.
const (
	// CloseIdle is a connection without a request since the idle timeout, CloseUnused one that
	// has brought no byte, and CloseHalfRead one whose head has stalled.
	CloseIdle     CloseReason = "idle"
	CloseUnused   CloseReason = "unused"
	CloseHalfRead CloseReason = "half-read"
	// CloseGivenUp is one whose caller reads too slowly, as memory for answers has run out.
	CloseGivenUp CloseReason = "given-up"
)

// KeepReason says why the router did not close a connection that was to be closed.
type KeepReason string

// The reasons are bytes that wait in the kernel, and bytes that a goroutine has read meanwhile.
const (
	KeptUnread KeepReason = "unread"
	KeptRead   KeepReason = "read"
)

// closeReason returns the reason of a close at the bound.
func (reason BoundReason) closeReason() CloseReason { return CloseReason("bound-" + reason) }

func (listener *Listener) reportClosed(reason CloseReason) {
	if listener.OnClose != nil {
		listener.OnClose(reason)
	}
}

func (listener *Listener) reportKept(reason KeepReason) {
	if listener.OnKeep != nil {
		listener.OnKeep(reason)
	}
}
