package zfadmission

import (
	"math"

	zf "zinniafront"
)

const (
	// classCount is the number of priorities that are told apart; lower ones share the
	// last class.
	classCount = 8
	// classFloor is the share of each priority's openings that is admitted while higher
	// ones have room. It is at most minShare.
	classFloor = minShare
	// retryBudget is the share of the admitted flows that may be retries while other
	// openings would fill the room.
	retryBudget = 0.1
	// minSample is the decayed count of openings below which callers are not told apart.
	minSample = 3
	// minRefused is the decayed count of openings to be turned away below which none is.
	minRefused = 0.01
)

// plan is the immutable result of a tick. The traffic goroutines read it.
type plan struct {
	// services are few, so that a search is faster than a map.
	services []*servicePlan
}

// find returns the limits of a service, or nil if it has none.
func (p *plan) find(name zf.ServiceName) *servicePlan {
	for _, s := range p.services {
		if s.service.name == name {
			return s
		}
	}
	return nil
}

// servicePlan holds the limits of one service by class.
type servicePlan struct {
	service *service
	limits  [classCount]classLimit
}

// classLimit is the limit of one class.
type classLimit struct {
	// cap is the decayed count of openings up to which a caller's are all admitted. Of
	// those of a caller above it, as many are.
	cap float64
	// retries is the share of the retries of a caller above the cap that are considered.
	retries float64
}

// admittedShares returns the shares of a caller's first openings and of its retries that are
// admitted.
func (l classLimit) admittedShares(count callerCount) (first, retry float64) {
	if count.openings <= l.cap {
		return 1, 1
	}
	considered := count.openings * (1 - count.retryShare*(1-l.retries))
	first = min(l.cap/considered, 1)
	return first, first * l.retries
}

// newServicePlan returns the limits by which a share of the openings of all callers is
// admitted, lower priorities being turned away first.
func newServicePlan(s *service, share float64, counts map[*class][]callerCount) *servicePlan {
	p := &servicePlan{
		service: s,
	}
	var openings [classCount]float64
	total := 0.0
	for i := range s.classes {
		for _, count := range counts[&s.classes[i]] {
			openings[i] += count.openings
		}
		total += openings[i]
	}
	admitted := allotByPriority(openings, share*total)
	spare := share * total
	for i := range s.classes {
		switch {
		case total < minSample:
			p.limits[i] = uniformLimit(share)
		case openings[i] < minSample:
			p.limits[i] = uniformLimit(min(max((spare-classFloor*total)/(openings[i]+1), classFloor), 1))
		default:
			p.limits[i] = newClassLimit(counts[&s.classes[i]], openings[i], admitted[i])
		}
		spare -= admitted[i]
		total -= openings[i]
	}
	return p
}

// uniformLimit returns the limit that admits a share of the openings of callers that have
// one opening each.
func uniformLimit(share float64) classLimit {
	if share >= 1 {
		return unlimited()
	}
	return classLimit{
		cap:     share,
		retries: 1,
	}
}

// unlimited returns the limit that admits all openings.
func unlimited() classLimit {
	return classLimit{
		cap:     math.Inf(1),
		retries: 1,
	}
}

// allotByPriority distributes the admitted openings over the classes: first the floor of
// each, then the remainder in order of priority.
func allotByPriority(openings [classCount]float64, admitted float64) [classCount]float64 {
	var allotted [classCount]float64
	for i, count := range openings {
		allotted[i] = min(classFloor*count, admitted)
		admitted -= allotted[i]
	}
	for i, count := range openings {
		more := min(count-allotted[i], admitted)
		allotted[i] += more
		admitted -= more
	}
	return allotted
}

// newClassLimit returns the limit by which the given number of openings is admitted.
func newClassLimit(counts []callerCount, openings, admitted float64) classLimit {
	if openings-admitted < minRefused {
		return unlimited()
	}
	retries := 0.0
	for _, count := range counts {
		retries += count.openings * count.retryShare
	}
	limit := classLimit{
		retries: 1,
	}
	if retries > 0 {
		first := openings - retries
		limit.retries = min(max(admitted-first, retryBudget*admitted)/retries, 1)
	}
	low, high := 0.0, 1.0
	for _, count := range counts {
		high = max(high, count.openings+1)
	}
	for range capPrecision {
		limit.cap = (low + high) / 2
		if limit.expected(counts) > admitted {
			high = limit.cap
		} else {
			low = limit.cap
		}
	}
	limit.cap = low
	return limit
}

// capPrecision is the number of bisections for a cap.
const capPrecision = 20

// expected returns the number of openings that the limit admits. A caller's count at an
// opening is by that opening above its mean.
func (l classLimit) expected(counts []callerCount) float64 {
	sum := 0.0
	for _, count := range counts {
		first, retry := l.admittedShares(callerCount{
			openings:   count.openings + 1,
			retryShare: count.retryShare,
		})
		sum += count.openings * (first + (retry-first)*count.retryShare)
	}
	return sum
}
