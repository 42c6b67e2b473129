// Package zfslot maps flows to backend servers by slots. A flow's hash names a
// slot; every instance holds the same table of slots for each service.
//
// A slot has a Base, an Active and a Next backend server. It is settled while
// the three are equal: then every flow of the slot is with that server, and an
// instance needs no knowledge of single flows. The service's coordinator
// changes a slot in two steps. First it sets Next, and the slot is unsettled;
// once every live instance has acknowledged that, it sets Active. From then on
// the slot's new flows go to Active and are known to their owner, an instance
// chosen by rendezvous hashing, since their opening packets pass through it. A
// flow of an unsettled slot that its owner doesn't know is with Base. A slot
// settles again, Base becoming Active, when no instance knows a flow of it
// elsewhere.
//
// An instance that the coordinator may have given up drops packets of flows
// that it doesn't know: the sender repeats a lost packet, and the repetition
// meets another instance, but a packet at the wrong server breaks its flow.
package zfslot
