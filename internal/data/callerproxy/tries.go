package callerproxy

// Tries bounds the extra tries of one service: each first go earns a share of an extra one,
// and no more than the allowance is ever saved up. So in any window whatever, wherever it
// begins and ends, extra goes are at most the share of its first goes plus the allowance. It
// begins empty, so that restarts add nothing.
type Tries struct {
	Share float64 // extra goes over first goes
	saved float64
}

// tiny makes up for shares that have no exact binary form: five fifths are a whole.
const tiny = 1e-9

// First counts a request's first go; the allowance is this dispatcher's part of the site's.
//
// Example: t.First(allowance)
func (t *Tries) First(allowance float64) { t.saved = min(allowance, t.saved+t.Share) }

// Extra tells whether one more go fits, and spends it if so.
//
// Example: if !t.Extra(allowance) { deny() }
func (t *Tries) Extra(allowance float64) bool {
	t.saved = min(allowance, t.saved) // the part may have become smaller
	if t.saved < 1-tiny {
		return false
	}
	t.saved--
	return true
}

// part is this dispatcher's part of what the site may do. More edges than it has whole parts
// get one each: less would be none.
func part(whole float64, edges int) float64 {
	if whole <= 0 {
		return 0
	}
	return max(1, whole/float64(max(1, edges)))
}
