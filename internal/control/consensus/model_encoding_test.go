package consensus

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"unsafe"

	"google.golang.org/protobuf/proto"
)

// The model checker copies cores and tells them apart by every field they have, found by reflection,
// so a field that is added to Core counts without a change here. A field of a kind that it can't copy
// or encode makes it panic.

var (
	protoType = reflect.TypeFor[proto.Message]()
	randType  = reflect.TypeFor[*rand.Rand]()
)

// accessible gives a value that may be read and set although its field isn't exported.
func accessible(v reflect.Value) reflect.Value {
	return reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem()
}

// cloneCore is a deep copy. Protocol messages are shared: the core replaces them and never changes one,
// which verifyUnchanged holds it to.
func cloneCore(c *Core) *Core {
	copied := *c
	detach(reflect.ValueOf(&copied).Elem())
	return &copied
}

// detach replaces every map, slice and pointer below a value by a copy of its own.
func detach(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool, reflect.Int, reflect.Int32, reflect.Int64, reflect.Uint8, reflect.Uint32, reflect.Uint64, reflect.String:
	case reflect.Struct:
		for i := range v.NumField() {
			detach(accessible(v.Field(i)))
		}
	case reflect.Slice:
		if v.IsNil() {
			return
		}
		l := reflect.MakeSlice(v.Type(), v.Len(), v.Len())
		reflect.Copy(l, v)
		for i := range l.Len() {
			detach(l.Index(i))
		}
		v.Set(l)
	case reflect.Map:
		if v.IsNil() {
			return
		}
		m := reflect.MakeMap(v.Type())
		for _, k := range v.MapKeys() {
			e := reflect.New(v.Type().Elem()).Elem()
			e.Set(v.MapIndex(k))
			detach(e)
			m.SetMapIndex(k, e)
		}
		v.Set(m)
	case reflect.Pointer:
		if v.IsNil() || v.Type() == randType || v.Type().Implements(protoType) {
			return
		}
		p := reflect.New(v.Type().Elem())
		p.Elem().Set(v.Elem())
		detach(p.Elem())
		v.Set(p)
	default:
		panic(fmt.Sprintf("the model checker can't copy a field of type %s", v.Type()))
	}
}

// renaming is a permutation of the members' names. Names are one letter, in a fixed group followed
// by a slash and the number of the incarnation.
type renaming map[byte]byte

func (r renaming) apply(s string) string {
	if len(s) == 0 || len(s) > 1 && s[1] != '/' || r[s[0]] == 0 {
		return s
	}
	return string(r[s[0]]) + s[1:]
}

// encoder writes the canonical form of values under a renaming of the members.
type encoder struct {
	bytes.Buffer
	names renaming
}

func (e *encoder) number(n uint64) {
	var b [binary.MaxVarintLen64]byte
	e.Write(b[:binary.PutUvarint(b[:], n)])
}

func (e *encoder) text(s string) {
	s = e.names.apply(s)
	e.number(uint64(len(s)))
	e.WriteString(s)
}

func (e *encoder) value(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			e.number(1)
		} else {
			e.number(0)
		}
	case reflect.Int, reflect.Int32, reflect.Int64:
		e.number(uint64(v.Int()))
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		e.number(v.Uint())
	case reflect.String:
		e.text(v.String())
	case reflect.Struct:
		e.fields(v)
	case reflect.Slice:
		e.list(v)
	case reflect.Map:
		e.mapping(v)
	case reflect.Pointer, reflect.Interface:
		if v.Type() == randType {
			return
		}
		if v.IsNil() {
			e.number(0)
			return
		}
		e.number(1)
		if v.Kind() == reflect.Interface {
			e.text(v.Elem().Type().String())
		}
		e.value(v.Elem())
	default:
		panic(fmt.Sprintf("the model checker can't encode a field of type %s", v.Type()))
	}
}

// encodedFields are the indexes of the fields that count, by type: of a protocol message only those
// that go over the wire.
var encodedFields sync.Map

func fieldsOf(t reflect.Type) []int {
	if l, known := encodedFields.Load(t); known {
		return l.([]int)
	}
	onWire := reflect.PointerTo(t).Implements(protoType)
	l := []int{}
	for i := range t.NumField() {
		if !onWire || t.Field(i).IsExported() {
			l = append(l, i)
		}
	}
	encodedFields.Store(t, l)
	return l
}

func (e *encoder) fields(v reflect.Value) {
	for _, i := range fieldsOf(v.Type()) {
		e.value(v.Field(i))
	}
}

// list encodes a slice. Lists of strings are sets of members, whose order means nothing.
func (e *encoder) list(v reflect.Value) {
	e.number(uint64(v.Len()))
	if v.Type().Elem().Kind() != reflect.String {
		for i := range v.Len() {
			e.value(v.Index(i))
		}
		return
	}
	names := make([]string, v.Len())
	for i := range names {
		names[i] = e.names.apply(v.Index(i).String())
	}
	slices.Sort(names)
	e.WriteString(strings.Join(names, ","))
}

func (e *encoder) mapping(v reflect.Value) {
	var pairs []string
	for _, k := range v.MapKeys() {
		pair := encoder{names: e.names}
		pair.value(k)
		pair.value(v.MapIndex(k))
		pairs = append(pairs, pair.String())
	}
	slices.Sort(pairs)
	e.number(uint64(len(pairs)))
	for _, p := range pairs {
		e.WriteString(p)
	}
}

// fingerprint is a hash of 128 bits. Those of the parts of a state are added up, so a state's doesn't
// depend on the order of its messages.
type fingerprint struct{ high, low uint64 }

func (f fingerprint) add(g fingerprint) fingerprint {
	return fingerprint{f.high + g.high, f.low + g.low}
}

func (f fingerprint) subtract(g fingerprint) fingerprint {
	return fingerprint{f.high - g.high, f.low - g.low}
}

func (f fingerprint) less(g fingerprint) bool {
	return f.high < g.high || f.high == g.high && f.low < g.low
}

func hashOf(raw []byte) fingerprint {
	h := sha256.Sum256(raw)
	return fingerprint{binary.BigEndian.Uint64(h[:8]), binary.BigEndian.Uint64(h[8:16])}
}

// founderRenamings are all permutations of the three founders; the first changes nothing.
var founderRenamings = [...]renaming{
	nil,
	{'a': 'a', 'b': 'c', 'c': 'b'},
	{'a': 'b', 'b': 'a', 'c': 'c'},
	{'a': 'b', 'b': 'c', 'c': 'a'},
	{'a': 'c', 'b': 'a', 'c': 'b'},
	{'a': 'c', 'b': 'b', 'c': 'a'},
}

// fingerprints are those of one thing under each renaming.
type fingerprints [len(founderRenamings)]fingerprint

// encodingOf is the canonical form of values of a kind.
func encodingOf(names renaming, kind string, values ...any) string {
	e := encoder{names: names}
	e.text(kind)
	for _, v := range values {
		e.value(reflect.ValueOf(v))
	}
	return e.String()
}

func fingerprintsOf(encode func(renaming) string) (prints fingerprints) {
	for i, names := range founderRenamings {
		prints[i] = hashOf([]byte(encode(names)))
	}
	return prints
}

// The copy shares nothing that the core changes, the encoding sees every field, and kinds that can't
// be copied or encoded aren't passed over.
func TestModelCopiesAndEncodesEveryField(t *testing.T) {
	c := newTestCore(BootstrapSnapshot("a", []string{"a", "b", "c"}), 1)
	c.campaign(candidate)
	before := encodingOf(nil, "core", c)
	copied := cloneCore(c)
	copied.votes["b"] = true
	copied.Propose(nil)
	copied.becomeLeader()
	if after := encodingOf(nil, "core", c); after != before {
		t.Fatal("a step of the copy changed the original")
	}
	if other := encodingOf(nil, "core", copied); other == before {
		t.Fatal("another state has the same encoding")
	}
	for i := range reflect.TypeFor[Core]().NumField() {
		changed := cloneCore(c)
		f := accessible(reflect.ValueOf(changed).Elem().Field(i))
		name := reflect.TypeFor[Core]().Field(i).Name
		switch f.Kind() {
		case reflect.Bool:
			f.SetBool(!f.Bool())
		case reflect.Int:
			f.SetInt(f.Int() + 1)
		case reflect.Uint64:
			f.SetUint(f.Uint() + 1)
		case reflect.String:
			f.SetString(f.String() + "x")
		default:
			f.SetZero()
			if accessible(reflect.ValueOf(c).Elem().Field(i)).IsZero() || f.Kind() == reflect.Map || f.Kind() == reflect.Slice {
				continue // empty already
			}
		}
		if after := encodingOf(nil, "core", changed); after == before {
			t.Errorf("the encoding doesn't see %s", name)
		}
	}
	for _, v := range []any{make(chan int), func() {}, 1.5} {
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("%T is encoded without a complaint", v)
				}
			}()
			encodingOf(nil, "", v)
		}()
	}
}
