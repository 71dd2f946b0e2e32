package flow

import (
	"maps"
	"slices"
	"time"
)

// historyComplete reports whether the view holds every route of the last MaxFlowAge.
func (d *Director) historyComplete(now time.Duration) bool {
	return now-d.view.RoutesKnownSince >= d.config.MaxFlowAge
}

// asks reports whether the search asks the agents of a service, given by its hash, as one that the address directs flows to.
func (s *search) asks(hash uint64) bool {
	return slices.ContainsFunc(s.asked, func(asked *service) bool { return asked.hash == hash })
}

// mayBeHeldAt reports whether the flow of a search may be held by a server of a service, given by its hash.
func (s *search) mayBeHeldAt(hash uint64) bool {
	return s.wide || s.asks(hash)
}

// servicesExcept returns the services that are not in a list, in the order of their names.
func (d *Director) servicesExcept(list []*service) []*service {
	var others []*service
	for _, name := range slices.Sorted(maps.Keys(d.services)) {
		if s := d.services[name]; !slices.ContainsFunc(list, func(asked *service) bool { return asked.hash == s.hash }) {
			others = append(others, s)
		}
	}
	return others
}

// provesLoss reports whether the denials of a search prove that its flow is lost, which requires that all servers that
// may hold it were asked.
func (d *Director) provesLoss(now time.Duration, s *search) bool {
	return (s.wide || d.historyComplete(now)) && !s.outdated && s.changed == d.view.Changed && d.showsNewServers(s) && d.missingMeansRemoved(now) &&
		(d.repeatable(s.packet.Key) || !d.suspendedHolder(now, s)) &&
		(!s.wide && d.hints.idle <= d.config.IdleTimeout || d.agentsQualifyDenials())
}

// showsNewServers reports whether the view shows the server of the flow even if that has written its entry and taken the flow,
// by another balancer, just before the search began. The view was confirmed since then, or the store has confirmed it for a
// while and an agent that was asked knows of no later change. In a view that has just been read for the first time, all servers
// and agents may be missing, since they start as well.
func (d *Director) showsNewServers(s *search) bool {
	return d.view.Confirmed >= s.started || s.denied && d.view.MissingMeansRemoved(d.config.Registry)
}

// agentsQualifyDenials reports whether no agent is known to run an earlier version. Such an agent does not state its server.
// It denies flows of which it can't know in a search of all services, and those that were idle for longer than IdleTimeout
// although the configuration states a longer time.
func (d *Director) agentsQualifyDenials() bool {
	return !slices.ContainsFunc(d.sortedAgents, func(a *agent) bool {
		return a.present && a.status.process != 0 && a.status.serverPort == 0
	})
}

// suspendedHolder reports whether a server that may hold the flow of a search could not be asked because its agent may
// be suspended.
func (d *Director) suspendedHolder(now time.Duration, s *search) bool {
	for _, a := range d.sortedAgents {
		if d.maybeSuspended(now, a) && s.mayBeHeldAt(a.service) {
			return true
		}
	}
	return false
}

// lives reports whether an agent has answered the latest heartbeat, or would have done so if it had not announced that it stops.
// It starts again soon, and its server keeps running.
func (d *Director) lives(now time.Duration, a *agent) bool {
	return d.answers(now, a) || a.leaving && d.silence(now, a) <= d.config.RemoteInterval+d.config.UnresponsiveAfter
}

// unlistedHolders returns the agents of the services of a search that answer although the view does not name their servers any
// more. Such a server may have lost its entry to another writer; it writes the entry again soon, unless it is gone.
func (d *Director) unlistedHolders(now time.Duration, s *search) (agents []holder) {
	for _, a := range d.unlisted {
		if now-a.unlistedSince <= d.config.Registry.LapsedRetention && !a.draining && a.ip != s.excluded && d.lives(now, a) &&
			s.mayBeHeldAt(a.service) {
			agents = append(agents, holder{ip: a.ip, service: a.service, wide: !s.asks(a.service)})
		}
	}
	return agents
}
