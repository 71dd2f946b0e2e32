package flow_test

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/bramleyrack/bramleyrack/registry"
)

// rewriteTime is the time within which servers and operators write to a restored store again.
const rewriteTime = 2 * time.Second

// restoredStore is what a store that was restored from a copy still states as the copy has it.
type restoredStore struct {
	// configuration is that of the copy until the operators have written again, or nil.
	configuration *registry.Configuration
	// entries are those of the copy, and stale the IDs that nobody has written since.
	entries map[string]registry.Upstream
	stale   map[string]bool
}

// apply replaces what nobody has written since the restore by what the copy has, in the present state of the store.
func (r *restoredStore) apply(s registry.Snapshot) registry.Snapshot {
	if r.configuration != nil {
		s.Configuration = r.configuration
	}
	s.Upstreams = slices.DeleteFunc(s.Upstreams, func(u registry.Upstream) bool { return r.stale[u.ID] })
	for id := range r.stale {
		if u, ok := r.entries[id]; ok {
			s.Upstreams = append(s.Upstreams, u)
		}
	}
	slices.SortFunc(s.Upstreams, func(a, b registry.Upstream) int { return strings.Compare(a.ID, b.ID) })
	return s
}

// restoreStore restores the store from a copy of now some seconds later. Servers and operators write again within 2 s.
func restoreStore(sim *simulation) {
	if sim.silentStore || sim.now < sim.settledAt {
		return
	}
	copied := sim.snapshot()
	sim.after(time.Duration(500+sim.rnd.Intn(5000))*time.Millisecond, func() {
		if sim.silentStore || sim.now < sim.settledAt {
			return
		}
		sim.counts["restores"]++
		sim.settledAt = sim.now + rewriteTime
		r := restoredStore{configuration: copied.Configuration, entries: map[string]registry.Upstream{}, stale: map[string]bool{}}
		for _, u := range copied.Upstreams {
			r.entries[u.ID], r.stale[u.ID] = u, true
		}
		for _, server := range sim.servers {
			r.stale[server.id] = server.registered || r.stale[server.id]
		}
		sim.restored = r
		sim.revision = registry.NewRevision(sim.revision.Era()+1, copied.Revision.Number())
		sim.writeAgain()
	})
}

// writeAgain publishes the restored state of the store, and lets servers and operators write again.
func (sim *simulation) writeAgain() {
	ids := make([]string, 0, len(sim.restored.stale))
	for id := range sim.restored.stale {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	sim.change()
	for _, id := range ids {
		sim.after(time.Duration(sim.rnd.Int63n(int64(rewriteTime))), func() {
			delete(sim.restored.stale, id)
			sim.change()
		})
	}
	sim.after(time.Duration(sim.rnd.Int63n(int64(rewriteTime))), func() {
		sim.restored.configuration = nil
		sim.publish()
	})
}

// copyCounts reports whether the processes may take the copy of a restored store for the truth: all of them have restarted since
// the restore, so nobody knows of it, and not all servers have written again.
func (sim *simulation) copyCounts() bool {
	return sim.allRestartedAt >= sim.settledAt-rewriteTime && sim.now <= sim.settledAt+sim.maxLag
}

// writeForeignEntry lets another writer state the address of a server for some seconds, with another service or port.
func writeForeignEntry(sim *simulation) {
	server := sim.servers[sim.rnd.Intn(len(sim.servers))]
	if !server.registered || sim.byIP[server.ip] != server {
		return
	}
	u := server.entry(sim.options)
	u.ID, u.Created = "x"+u.ID, sim.revision+1
	u.Incarnation = uint64(sim.now.Milliseconds())
	if u.Service = []string{"orders", "photos", "metrics"}[sim.rnd.Intn(3)]; u.Service == server.service {
		u.Address = netip.AddrPortFrom(u.Address.Addr(), simPort+3)
	}
	sim.counts["foreign entries"]++
	sim.foreign = append(sim.foreign, u)
	sim.change()
	sim.after(time.Duration(1+sim.rnd.Intn(5))*time.Second, func() {
		sim.foreign = slices.DeleteFunc(sim.foreign, func(f registry.Upstream) bool { return f.ID == u.ID })
		sim.change()
	})
}

// change changes entries of the store and distributes its state. The configuration stays.
func (sim *simulation) change() {
	sim.revision++
	if !sim.silentStore {
		sim.distribute(sim.snapshot())
	}
}
