package selection

// recentMap is a bounded map with two generations. When the current generation is full it replaces the
// previous one, whose entries are dropped unless they were put again. The map holds up to twice its limit.
type recentMap[K comparable, V any] struct {
	current, previous map[K]V
	// Maximum number of entries in each of the two generations.
	limit int
}

func newRecentMap[K comparable, V any](limit int) *recentMap[K, V] {
	return &recentMap[K, V]{current: map[K]V{}, previous: map[K]V{}, limit: limit}
}

func (m *recentMap[K, V]) get(key K) (value V, ok bool) {
	if value, ok = m.current[key]; ok {
		return value, true
	}
	value, ok = m.previous[key]
	return value, ok
}

func (m *recentMap[K, V]) put(key K, value V) {
	if len(m.current) >= m.limit {
		m.previous, m.current = m.current, map[K]V{}
	}
	m.current[key] = value
}

func (m *recentMap[K, V]) remove(key K) {
	delete(m.current, key)
	delete(m.previous, key)
}
