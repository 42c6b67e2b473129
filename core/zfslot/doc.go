// Package zfslot maps flows to backend servers through replicated slot tables.
// The hash of a flow selects a slot; every instance holds the same table of
// slots for each service.
//
// A slot has a Base, an Active and a Next backend server. Moved marks a slot
// that was changed and may still have flows on another server than Base. A
// slot is settled if the three are equal and Moved is not set: every flow of
// the slot is then on that server, and an instance needs no per-flow state.
//
// The coordinator of a service is the ready instance with the highest
// rendezvous weight for the service's name, or the live one with the highest
// while none is ready; it alone writes the slot table. The hash of a flow also
// selects a bucket. Rendezvous hashing gives each bucket an owner, the instance
// that places the bucket's new flows, and a backup, which would be the next
// owner and records the flows of unsettled slots too. A hint is a flow row that
// the owner sends to the instance that relayed a packet, or to the backup. A
// tentative row holds a server that the backup predicted itself. A rebind is a
// five-tuple that is opened again while its earlier backend server accepts no
// new flows.
//
// The coordinator changes a slot in two phases. First it sets Next, which makes
// the slot unsettled; once every live instance has acknowledged the row, it
// sets Active. From then on the slot's new flows go to Active. Their opening
// packets pass through the flow's owner, so that the owner knows them. A flow
// of an unsettled slot that its owner doesn't know is on Base. A slot is
// settled again, Active becoming its Base, when no instance knows a flow of it
// on another server.
//
// An instance that the coordinator may have declared dead drops packets of
// flows that it doesn't know: the sender retransmits a dropped packet, and the
// retransmission reaches another instance, whereas a packet at the wrong
// server breaks its flow.
package zfslot
