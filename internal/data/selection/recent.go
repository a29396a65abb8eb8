package selection

// recentMap is a bounded map in two generations: entries that aren't used leave with the older one.
type recentMap[K comparable, V any] struct {
	current, previous map[K]V
	limit             int
}

func newRecentMap[K comparable, V any](n int) *recentMap[K, V] {
	return &recentMap[K, V]{current: map[K]V{}, previous: map[K]V{}, limit: n}
}

func (r *recentMap[K, V]) get(k K) (v V, ok bool) {
	if v, ok = r.current[k]; ok {
		return v, true
	}
	v, ok = r.previous[k]
	return v, ok
}

func (r *recentMap[K, V]) put(k K, v V) {
	if len(r.current) >= r.limit {
		r.previous, r.current = r.current, map[K]V{}
	}
	r.current[k] = v
}

func (r *recentMap[K, V]) remove(k K) {
	delete(r.current, k)
	delete(r.previous, k)
}
