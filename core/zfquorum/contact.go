package zfquorum

import (
	"slices"
	"time"
)

// LastContact returns the time of the last contact with a majority of the voters,
// or with a leader that is in contact with one.
func (r *Replica) LastContact(now time.Time) time.Time {
	if r.role != roleLeader {
		return r.lastHeartbeat
	}
	contact := now
	for _, voters := range r.record.Entry.voterSets() {
		if len(voters) == 0 {
			return time.Time{}
		}
		times := make([]time.Time, 0, len(voters))
		for _, voter := range voters {
			at := now
			if voter.ID != r.config.Self.ID {
				at = time.Time{}
				if p := r.peers[voter.ID]; p != nil {
					at = p.lastContact
				}
			}
			times = append(times, at)
		}
		slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
		if at := times[majority(len(times))-1]; at.Before(contact) {
			contact = at
		}
	}
	return contact
}

// initialContact returns when a new leader was last in contact with a node: now if the node
// voted for it or nothing is known.
func (r *Replica) initialContact(id ID, now time.Time) time.Time {
	if contact, ok := r.contacts[id]; ok && !r.votes[id] {
		return contact
	}
	return now
}

// recordContact updates and returns the row of the sender of a message. A new ID at
// a known address gets a row of its own: the earlier disk was lost.
func (r *Replica) recordContact(m Message, now time.Time) *peer {
	p := r.peers[m.From.ID]
	if p == nil {
		p = &peer{}
		r.peers[m.From.ID] = p
	}
	if now.Sub(p.lastContact) >= contactTimeout {
		p.reachableSince = now
	}
	p.Node = m.From
	p.lastContact = now
	p.stopping = m.Stopping
	return p
}

// silences returns the silences of the voters that this leader doesn't reach.
func (r *Replica) silences(now time.Time) []Silence {
	var silences []Silence
	for _, voter := range r.record.Entry.allVoters() {
		if p := r.peers[voter.ID]; p != nil && now.Sub(p.lastContact) >= contactTimeout {
			silences = append(silences, Silence{
				ID:       voter.ID,
				Duration: now.Sub(p.lastContact),
			})
		}
	}
	return silences
}
