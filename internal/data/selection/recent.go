package selection

// recent is a bounded map in two generations: entries that aren't used leave with the older one.
type recent[K comparable, V any] struct {
	now, old map[K]V
	max      int
}

func newRecent[K comparable, V any](n int) *recent[K, V] {
	return &recent[K, V]{now: map[K]V{}, old: map[K]V{}, max: n}
}

func (r *recent[K, V]) get(k K) (v V, ok bool) {
	if v, ok = r.now[k]; ok {
		return v, true
	}
	v, ok = r.old[k]
	return v, ok
}

func (r *recent[K, V]) put(k K, v V) {
	if len(r.now) >= r.max {
		r.old, r.now = r.now, map[K]V{}
	}
	r.now[k] = v
}

func (r *recent[K, V]) drop(k K) {
	delete(r.now, k)
	delete(r.old, k)
}
