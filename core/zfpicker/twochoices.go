// Package zfpicker chooses backend servers for requests.
package zfpicker

import zf "zinniafront"

// TwoChoices picks the better of two random candidates, the one with more free
// slots, then with the lower reported load. If neither has a free slot it
// takes the first candidate that has one.
type TwoChoices struct{}

// Pick implements zinniafront.Picker.
func (TwoChoices) Pick(candidates []zf.Candidate, random zf.Random) int {
	if len(candidates) == 0 {
		return -1
	}
	first, second := random.IntN(len(candidates)), random.IntN(len(candidates))
	best := lessLoaded(candidates, first, second)
	if candidates[best].Free > 0 {
		return best
	}
	for i := range candidates {
		if candidates[i].Free > 0 {
			return i
		}
	}
	return -1
}

func lessLoaded(candidates []zf.Candidate, a, b int) int {
	switch {
	case candidates[a].Free > candidates[b].Free:
		return a
	case candidates[a].Free < candidates[b].Free:
		return b
	case candidates[b].Load < candidates[a].Load:
		return b
	default:
		return a
	}
}
