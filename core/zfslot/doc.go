// Package zfslot maps flows to backend servers through replicated slot tables.
// The hash of a flow selects a slot; every instance holds the same table of
// slots for each service.
//
// A slot has a Base, an Active and a Next backend server. It is settled while
// the three are equal: every flow of the slot is then on that server, and an
// instance needs no per-flow state. The service's coordinator changes a slot
// in two phases. First it sets Next, which makes the slot unsettled; once
// every live instance has acknowledged the row, it sets Active. From then on
// the slot's new flows go to Active. Their opening packets pass through the
// flow's owner, an instance chosen by rendezvous hashing, so that the owner
// knows them. A flow of an unsettled slot that its owner doesn't know is on
// Base. A slot is settled again, Base becoming Active, when no instance knows
// a flow of it on another server.
//
// An instance that the coordinator may have declared dead drops packets of
// flows that it doesn't know: the sender retransmits a dropped packet, and the
// retransmission reaches another instance, whereas a packet at the wrong
// server breaks its flow.
package zfslot
