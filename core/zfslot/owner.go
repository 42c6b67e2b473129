package zfslot

import (
	"encoding/binary"
	"strconv"

	"github.com/zeebo/xxh3"

	zf "zinniafront"
)

// bucketCount is the number of buckets that flows are divided into for
// ownership, a power of two.
const bucketCount = 1024

// bucketShift skips the low bits of a hash, which select its slot.
const bucketShift = 32

func bucketOf(hash uint64) int { return int(hash>>bucketShift) & (bucketCount - 1) }

// weightOf returns the rendezvous weight of a name for a key.
func weightOf(name zf.InstanceName, key uint64) uint64 {
	var buffer [8]byte
	binary.BigEndian.PutUint64(buffer[:], key)
	return xxh3.HashSeed(buffer[:], xxh3.HashString(string(name)))
}

// highestWeight returns the index of the eligible member with the highest
// weight for a key, or -1.
func highestWeight(members []zf.MemberView, key uint64, eligible func(zf.MemberView) bool) int {
	best, bestWeight := -1, uint64(0)
	for i, member := range members {
		if !eligible(member) {
			continue
		}
		if w := weightOf(member.Name, key); best < 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}

func isReady(member zf.MemberView) bool { return member.Ready }

func anyMember(zf.MemberView) bool { return true }

// buckets holds one instance for each bucket, its owner or its backup.
type buckets [bucketCount]zf.InstanceName

// ownersOf assigns each bucket to a ready member; without one the owner is "".
func ownersOf(members []zf.MemberView) *buckets {
	var owners buckets
	for b := range owners {
		if i := highestWeight(members, uint64(b), isReady); i >= 0 {
			owners[b] = members[i].Name
		}
	}
	return &owners
}

// ownership holds the owners and backups of the buckets as indexes of names,
// or -1.
type ownership struct {
	names   []zf.InstanceName
	owners  [bucketCount]int16
	backups [bucketCount]int16
}

func newOwnership(owners, backups *buckets) *ownership {
	o := &ownership{}
	index := make(map[zf.InstanceName]int16)
	indexOf := func(name zf.InstanceName) int16 {
		if name == "" {
			return -1
		}
		i, ok := index[name]
		if !ok {
			i = int16(len(o.names))
			index[name] = i
			o.names = append(o.names, name)
		}
		return i
	}
	for b := range owners {
		o.owners[b] = indexOf(owners[b])
		o.backups[b] = indexOf(backups[b])
	}
	return o
}

// coordinatorOf returns the index of the member that writes a service's slot
// table: a ready one, or any while none is ready.
func coordinatorOf(members []zf.MemberView, service zf.ServiceName) int {
	key := xxh3.HashString(string(service))
	if i := highestWeight(members, key, isReady); i >= 0 {
		return i
	}
	return highestWeight(members, key, anyMember)
}

// membershipDigest returns a digest of the ready members and their
// incarnations.
func membershipDigest(members []zf.MemberView) uint64 {
	buffer := make([]byte, 0, 32*len(members))
	for _, member := range members {
		if member.Ready {
			buffer = append(buffer, member.Name...)
			buffer = append(buffer, ' ')
			buffer = strconv.AppendUint(buffer, member.Incarnation, 16)
			buffer = append(buffer, '\n')
		}
	}
	return xxh3.Hash(buffer)
}
