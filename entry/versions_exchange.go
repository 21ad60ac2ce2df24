package entry

import (
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/gossip"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/split"
)

// adopt puts a split in force unless a newer one is, and confirms that to the
// coordinators.
func (versions *versions) adopt(adopted split.Split, source string) bool {
	if !versions.splits.Adopt(adopted) {
		return false
	}
	versions.metrics.CountEvent("split.adopted")
	versions.logger.Info("Split adopted.", "Service", adopted.Service, "Revision", adopted.Revision, "Settled", adopted.Settled(), "Cells", cellCounts(adopted), "Source", source)
	versions.confirmAdopted(time.Now(), adopted)
	return true
}

// cellCounts returns how many cells each version has.
func cellCounts(of split.Split) map[ident.SoftwareVersion]int {
	counts := make(map[ident.SoftwareVersion]int)
	for _, cell := range of.Cells {
		counts[cell.Version]++
	}
	return counts
}

// confirmAdopted confirms to the coordinators that this router has adopted a split.
func (versions *versions) confirmAdopted(now time.Time, adopted split.Split) {
	if adopted.Settled() {
		return
	}
	item := gossip.AdoptedItem{Service: adopted.Service, Revision: adopted.Revision}
	if coordinators := versions.coordinators(now); len(coordinators) > 0 {
		versions.gossip.SendVersions(gossip.VersionMessage{Adopted: []gossip.AdoptedItem{item}}, coordinators...)
	}
}

// coordinators returns the addresses of the routers that change and settle splits, the
// first to act first.
func (versions *versions) coordinators(now time.Time) []string {
	others := versions.gossip.WithoutVersions(now)
	live := slices.Sorted(slices.Values(versions.gossip.Live(now)))
	live = slices.DeleteFunc(live, func(address string) bool { return slices.Contains(others, address) })
	return live[:min(len(live), coordinatorCount)]
}

// ping sends routers a message that those which know splits answer, if they have sent no
// VersionMessage yet.
func (versions *versions) ping(now time.Time, current split.Split, service *serviceVersions) {
	if now.Sub(service.repeatedAt) < pingInterval {
		return
	}
	if unconfirmed := versions.gossip.Unconfirmed(now); len(unconfirmed) > 0 {
		service.repeatedAt = now
		item := gossip.AdoptedItem{Service: current.Service, Revision: current.Revision}
		versions.gossip.SendVersions(gossip.VersionMessage{Adopted: []gossip.AdoptedItem{item}}, unconfirmed...)
	}
}

// behind returns the other routers that are not known to have adopted a split.
func (versions *versions) behind(current split.Split) []string {
	versions.mu.Lock()
	defer versions.mu.Unlock()
	var behind []string
	for _, address := range versions.gossip.Addresses() {
		if address != versions.gossip.Address && versions.adopted[current.Service][address] < current.Revision {
			behind = append(behind, address)
		}
	}
	return behind
}

// receive applies a message of another router.
func (versions *versions) receive(now time.Time, message gossip.VersionMessage) {
	var reply gossip.VersionMessage
	for _, item := range message.Splits {
		received, err := item.Split()
		if err != nil {
			versions.metrics.CountEvent("gossip.malformed")
			continue
		}
		versions.recordAdopted(message.Address, item.Service, item.Revision)
		versions.adopt(received, "router")
	}
	for _, item := range message.Adopted {
		versions.recordAdopted(message.Address, item.Service, item.Revision)
		current, found := versions.splits.Split(item.Service)
		if item.Revision > current.Revision {
			versions.behindOthers.Store(true)
		}
		if found && (current.Revision > item.Revision || current.Revision == item.Revision && current.Settled()) {
			reply.Splits = append(reply.Splits, gossip.NewSplitItem(current))
		}
	}
	for _, item := range message.Origins {
		versions.origins.Add(now, item.Origin(now))
	}
	for _, attempt := range message.Requested {
		if origin, found := versions.origins.Get(attempt); found {
			reply.Origins = append(reply.Origins, gossip.NewOriginItem(now, origin))
		}
	}
	if len(reply.Splits)+len(reply.Origins) > 0 {
		versions.gossip.SendVersions(reply, message.Address)
	}
}

// recordAdopted records which revision of a split another router has adopted.
func (versions *versions) recordAdopted(address string, service ident.ServiceName, revision uint64) {
	versions.mu.Lock()
	defer versions.mu.Unlock()
	if versions.adopted[service] == nil {
		versions.adopted[service] = make(map[string]uint64)
	}
	versions.adopted[service][address] = max(versions.adopted[service][address], revision)
}
