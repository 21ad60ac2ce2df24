package peer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/standin"
)

// The daemons of these tests run in this process; see fleet.

func TestChangeIsInForceEverywhereThoughTheStoreIsCut(t *testing.T) {
	fleet := newFleet(t)
	fleet.start(24, 3)
	for round := range 3 {
		origin := fleet.daemons[round]
		accepted := origin.commit("beaudoin", round+1)
		fleet.platform.Switch(standin.PlatformSwitches{Outage: true})
		origin.replicator.AdoptCommitted(accepted)
		waitInForce(t, fleet.daemons, accepted)
		fleet.platform.Switch(standin.PlatformSwitches{})
	}
	fleet.checkNoRollback()
}

func TestLostAnswersEndInOneRevisionEverywhere(t *testing.T) {
	fleet := newFleet(t)
	fleet.start(6, 1)
	fleet.platform.Switch(standin.PlatformSwitches{LoseShare: 0.5})
	for round := range 6 {
		accepted := fleet.daemons[round].accept("beaudoin", round+1)
		if got, want := accepted.Revision, ident.Revision(round+1); got != want {
			t.Fatalf("got revision %d, want %d", got, want)
		}
		waitInForce(t, fleet.daemons, accepted)
	}
}

// Guards against the loss of a change whose router crashes between its commit and
// its announcement. Any other daemon must find it when it polls the store.
func TestChangeOfAKilledRouterIsFoundInTheStore(t *testing.T) {
	fleet := newFleet(t)
	fleet.configure = func(replicator *peer.Replicator) { replicator.MinPollInterval = 200 * time.Millisecond }
	fleet.start(8, 1)
	accepted := fleet.daemons[0].commit("beaudoin", 3)
	fleet.daemons[0].stop()
	waitInForce(t, fleet.daemons[1:], accepted)
}

func TestFrozenHalfCatchesUpAndNeverGoesBack(t *testing.T) {
	fleet := newFleet(t)
	fleet.start(16, 1)
	first := fleet.daemons[0].accept("beaudoin", 1)
	waitInForce(t, fleet.daemons, first)
	frozen, awake := fleet.daemons[8:], fleet.daemons[:8]
	for _, daemon := range frozen {
		daemon.gate.freeze()
	}
	last := first
	for round := range 6 {
		last = awake[round].accept("beaudoin", round+2)
	}
	fleet.platform.Switch(standin.PlatformSwitches{Outage: true})
	waitInForce(t, awake, last)
	for _, daemon := range frozen {
		if got, want := daemon.replicator.View().Revision("beaudoin"), last.Revision; got >= want {
			t.Errorf("got revision %d at a frozen daemon, want under %d", got, want)
		}
		daemon.gate.thaw()
	}
	waitInForce(t, fleet.daemons, last)
	fleet.checkNoRollback()
}

func TestHealedPartitionBringsBothSidesTogether(t *testing.T) {
	fleet := newFleet(t)
	fleet.start(18, 3)
	inFirstRegion := make(map[string]bool)
	for _, daemon := range fleet.daemons {
		inFirstRegion[daemon.vm.PeerAddress] = daemon.vm.Region == "region-0"
	}
	for _, daemon := range fleet.daemons {
		here := daemon.vm.Region == "region-0"
		daemon.gate.partition(func(address string) bool { return inFirstRegion[address] != here })
	}
	first := fleet.daemons[0].accept("beaudoin", 1)
	second := fleet.daemons[1].accept("ndiaye", 1)
	fleet.platform.Switch(standin.PlatformSwitches{Outage: true})
	for i, daemon := range fleet.daemons {
		if inFirstRegion[daemon.vm.PeerAddress] {
			waitInForce(t, fleet.daemons[i:i+1], first)
		} else {
			waitInForce(t, fleet.daemons[i:i+1], second)
		}
	}
	for _, daemon := range fleet.daemons {
		daemon.gate.partition(nil)
	}
	waitInForce(t, fleet.daemons, first)
	waitInForce(t, fleet.daemons, second)
	fleet.checkNoRollback()
}

// Guards against a new daemon that serves outdated settings. It starts during a
// store outage while one peer is stale: it must become ready only with the newest
// settings, and the stale peer must not make it return to older ones.
func TestNewDaemonStartsFromItsPeers(t *testing.T) {
	fleet := newFleet(t)
	fleet.start(9, 1)
	first := fleet.daemons[0].accept("beaudoin", 1)
	waitInForce(t, fleet.daemons, first)
	stale := fleet.daemons[8]
	stale.gate.freeze()
	last := fleet.daemons[0].accept("beaudoin", 2)
	waitInForce(t, fleet.daemons[:8], last)
	fleet.platform.Switch(standin.PlatformSwitches{Outage: true})
	stale.gate.thaw()
	joined := fleet.prepare(1)
	fleet.updateVMs()
	joined.start()
	eventually(t, "a ready daemon", joined.replicator.Ready)
	if got, want := joined.replicator.View().Revision("beaudoin"), last.Revision; got != want {
		t.Errorf("got revision %d at a ready daemon, want %d", got, want)
	}
	waitInForce(t, fleet.daemons, last)
	fleet.checkNoRollback()
}

// Guards against a daemon that misses changes because the others do not have it in
// their list of VMs yet. They announce nothing to it, so it must find changes when
// it compares.
func TestDaemonThatOthersDoNotSeeHearsOfChanges(t *testing.T) {
	fleet := newFleet(t)
	fleet.start(5, 1)
	seen := fleet.vmList()
	joined := fleet.prepare(1)
	joined.replicator.SetVMs(append(seen, joined.vm))
	joined.start()
	eventually(t, "a ready daemon", joined.replicator.Ready)
	accepted := fleet.daemons[0].commit("beaudoin", 1)
	fleet.platform.Switch(standin.PlatformSwitches{Outage: true})
	fleet.daemons[0].replicator.AdoptCommitted(accepted)
	waitInForce(t, fleet.daemons, accepted)
}

// Guards against a daemon that becomes ready with outdated settings during a store
// outage. A majority of the neighbours that may be ready must confirm them.
func TestReadyNeedsMostNeighbours(t *testing.T) {
	vms := fleetOf(9, 1, 1)
	self := vms[0]
	neighbours := peer.Neighbours(self, vms)
	tests := []struct {
		name                              string
		confirming, notReady, unreachable int
		want                              bool
	}{
		{"all confirm", len(neighbours), 0, 0, true},
		{"most confirm", len(neighbours)/2 + 1, 0, len(neighbours) - len(neighbours)/2 - 1, true},
		{"one confirms, the others are unreachable", 1, 0, len(neighbours) - 1, false},
		{"one confirms, the others are not ready", 1, len(neighbours) - 1, 0, true},
		{"none is ready", 0, len(neighbours), 0, false},
		{"all are unreachable", 0, 0, len(neighbours), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			answers := make(map[string]peer.CompareReply)
			for i, vm := range neighbours {
				if i < test.confirming+test.notReady {
					answers[vm.PeerAddress] = peer.CompareReply{Same: true, Ready: i < test.confirming}
				}
			}
			if got := startAlone(t, self, vms, answers); got != test.want {
				t.Errorf("got ready %t, want %t", got, test.want)
			}
		})
	}
}

// startAlone runs a replicator whose store is down and whose neighbours return
// answers. It reports whether the replicator becomes ready.
func startAlone(t *testing.T, self platform.VM, vms []platform.VM, answers map[string]peer.CompareReply) (ready bool) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		replicator := &peer.Replicator{
			Self: self,
			Call: func(_ context.Context, address, _ string, _, reply any) error {
				answer, found := answers[address]
				if !found {
					return peer.ErrUnreachable
				}
				*reply.(*peer.CompareReply) = answer
				return nil
			},
			Heads: func(context.Context) (map[ident.TeamID]ident.Revision, error) { return nil, errPartitioned },
		}
		replicator.SetVMs(vms)
		replicator.Run(ctx)
		ready = replicator.Ready()
	})
	return ready
}
