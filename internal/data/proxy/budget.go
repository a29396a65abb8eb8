package proxy

import "sync"

// tries bounds the extra attempts of one service: each first attempt earns a share of an extra
// one, and no more than the allowance is ever saved up. So in any window, wherever it begins and
// ends, extra attempts are at most the share of its first ones plus the allowance. It begins
// empty, so that restarts add nothing.
type tries struct{ saved float64 }

// tiny makes up for shares that have no exact binary form: five fifths are a whole.
const tiny = 1e-9

func (t *tries) first(share, allowance float64) { t.saved = min(allowance, t.saved+share) }

func (t *tries) extra(allowance float64) bool {
	t.saved = min(allowance, t.saved) // the part may have become smaller
	if t.saved < 1-tiny {
		return false
	}
	t.saved--
	return true
}

// part is this machine's part of what the site may do. More machines than it has whole parts get
// one each: less would be none.
func part(whole float64, edges int) float64 {
	if whole <= 0 {
		return 0
	}
	return max(1, whole/float64(max(1, edges)))
}

// budgets are the tries of all services. Services are those of plans, so they are few.
type budgets struct {
	share, whole float64
	mu           sync.Mutex
	by           map[string]*tries
}

func (b *budgets) of(service string) *tries {
	t := b.by[service]
	if t == nil {
		t = &tries{}
		b.by[service] = t
	}
	return t
}

// first counts a request's first attempt at a service.
func (b *budgets) first(service string, edges int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).first(b.share, part(b.whole, edges))
}

// extra tells whether one more attempt fits, and spends it if so.
func (b *budgets) extra(service string, edges int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).extra(part(b.whole, edges))
}
