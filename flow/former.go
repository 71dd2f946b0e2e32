package flow

import (
	"slices"
	"time"
)

// noticedFormer is a former service of an address that a report on a flow has shown, and when it last did so. Searches ask
// its agents for the other flows of the address, although the view does not know that route.
type noticedFormer struct {
	service uint64
	seen    time.Duration
}

// noteFormer records that a server of a service holds a flow of an address.
func (d *Director) noteFormer(now time.Duration, address Endpoint, service uint64) {
	r, s := d.routes[address], d.byHash[service]
	if r == nil || s == nil || slices.Contains(r.services, s) {
		return
	}
	if !slices.Contains(r.former, s) {
		r.former = append(r.former, s)
	}
	list := d.noticed[address]
	if i := slices.IndexFunc(list, func(f noticedFormer) bool { return f.service == service }); i >= 0 {
		list[i].seen = now
		return
	}
	d.noticed[address] = append(list, noticedFormer{service, now})
}

// addNoticedFormers adds the noticed former services to the routes of a new view, and drops those of which no flow can be
// left.
func (d *Director) addNoticedFormers(now time.Duration) {
	for address, list := range d.noticed {
		list = slices.DeleteFunc(list, func(f noticedFormer) bool { return now-f.seen > d.config.MaxFlowAge })
		if d.noticed[address] = list; len(list) == 0 {
			delete(d.noticed, address)
			continue
		}
		r := d.routes[address]
		if r == nil {
			continue
		}
		for _, f := range list {
			if s := d.byHash[f.service]; s != nil && !slices.Contains(r.services, s) && !slices.Contains(r.former, s) {
				r.former = append(r.former, s)
			}
		}
	}
}
