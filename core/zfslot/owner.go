package zfslot

import (
	"encoding/binary"
	"strconv"

	"github.com/zeebo/xxh3"

	zf "zinniafront"
)

// bucketCount is the number of parts that flows are divided into for
// ownership, a power of two.
const bucketCount = 1024

// bucketShift skips the low bits of a hash, which name its slot.
const bucketShift = 32

func bucketOf(hash uint64) int { return int(hash>>bucketShift) & (bucketCount - 1) }

// weightOf returns the rendezvous weight of a name for a key.
func weightOf(name zf.InstanceName, key uint64) uint64 {
	var buffer [8]byte
	binary.BigEndian.PutUint64(buffer[:], key)
	return xxh3.HashSeed(buffer[:], xxh3.HashString(string(name)))
}

// highest returns the member with the highest weight for a key, or -1.
func highest(members []zf.MemberView, key uint64, eligible func(zf.MemberView) bool) int {
	best, weight := -1, uint64(0)
	for i, member := range members {
		if !eligible(member) {
			continue
		}
		if w := weightOf(member.Name, key); best < 0 || w > weight {
			best, weight = i, w
		}
	}
	return best
}

func isReady(member zf.MemberView) bool { return member.Ready }

func isAny(zf.MemberView) bool { return true }

// buckets holds the owner of each part of the flows.
type buckets [bucketCount]zf.InstanceName

// ownersOf gives each bucket to a ready member; without one the owner is "".
func ownersOf(members []zf.MemberView) *buckets {
	var owners buckets
	for b := range owners {
		if i := highest(members, uint64(b), isReady); i >= 0 {
			owners[b] = members[i].Name
		}
	}
	return &owners
}

// ring holds the owners and backups of the buckets as indexes of names, or -1.
type ring struct {
	names   []zf.InstanceName
	owners  [bucketCount]int16
	backups [bucketCount]int16
}

func newRing(owners, backups *buckets) *ring {
	r := &ring{}
	index := make(map[zf.InstanceName]int16)
	indexOf := func(name zf.InstanceName) int16 {
		if name == "" {
			return -1
		}
		i, ok := index[name]
		if !ok {
			i = int16(len(r.names))
			index[name] = i
			r.names = append(r.names, name)
		}
		return i
	}
	for b := range owners {
		r.owners[b] = indexOf(owners[b])
		r.backups[b] = indexOf(backups[b])
	}
	return r
}

// coordinatorOf returns the member that writes a service's slot table: a ready
// one, or any while none is ready.
func coordinatorOf(members []zf.MemberView, service zf.ServiceName) int {
	key := xxh3.HashString(string(service))
	if i := highest(members, key, isReady); i >= 0 {
		return i
	}
	return highest(members, key, isAny)
}

// membershipDigest identifies the set of ready members with their incarnations.
func membershipDigest(members []zf.MemberView) uint64 {
	text := make([]byte, 0, 32*len(members))
	for _, member := range members {
		if member.Ready {
			text = append(text, member.Name...)
			text = append(text, ' ')
			text = strconv.AppendUint(text, member.Incarnation, 16)
			text = append(text, '\n')
		}
	}
	return xxh3.Hash(text)
}
