package worker

import "time"

// FollowShared makes the registry follow the prompt tokens that prompts share for services that
// selects picks, given whether a service is uneven. Without it none are followed.
func (r *Registry) FollowShared(selects func(uneven bool) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.followShared = selects
}

// ObserveShared records the prompt tokens that a caller's prompt shares with others, and how
// many of them have to be read in a region because no cache that the plan uses holds them. An
// empty region is the node's own.
func (r *Registry) ObserveShared(service, region string, tokens, unread int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if tokens <= 0 || !r.followShared(true) {
		return // a service that isn't uneven yet may be so when this is told to other nodes
	}
	known := r.demandOf(r.demandKey(service, region))
	known.shared.add(now, float64(tokens))
	known.sharedUnread.add(now, float64(unread))
}

// addShared adds the followed shared tokens to the demand at this node.
func (r *Registry) addShared(here *Demand, service string, known *demand, now time.Time) {
	if r.followShared(r.uneven[service] != nil) {
		here.SharedTokens, here.SharedUnread = known.shared.value(now), known.sharedUnread.value(now)
	}
}

// Asked reports whether any caller of a service is known to have asked anything, at this node
// or at one that has told its demand.
func (r *Registry) Asked(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range r.demands {
		if key.service == service {
			return true
		}
	}
	for _, known := range r.busy {
		if known.worker.Service == service {
			return true
		}
	}
	return false
}
