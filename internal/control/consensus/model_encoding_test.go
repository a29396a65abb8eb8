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

// The model checker copies and compares all fields of cores by reflection, so a new field of Core needs no change
// here. It panics at a field of a kind that it can't copy or encode.

var (
	protoType = reflect.TypeFor[proto.Message]()
	randType  = reflect.TypeFor[*rand.Rand]()
)

// settableField returns a struct field as a value that can be read and set even if the field isn't exported.
func settableField(value reflect.Value) reflect.Value {
	return reflect.NewAt(value.Type(), unsafe.Pointer(value.UnsafeAddr())).Elem()
}

// cloneCore returns a deep copy of a core, except for protocol messages, which are shared. The core must not change
// them; verifyUnchanged checks this.
func cloneCore(c *Core) *Core {
	copied := *c
	copyReferences(reflect.ValueOf(&copied).Elem())
	return &copied
}

// copyReferences replaces every map, slice and pointer in a value by a deep copy.
func copyReferences(value reflect.Value) {
	switch value.Kind() {
	case reflect.Bool, reflect.Int, reflect.Int32, reflect.Int64, reflect.Uint8, reflect.Uint32, reflect.Uint64, reflect.String:
	case reflect.Struct:
		for i := range value.NumField() {
			copyReferences(settableField(value.Field(i)))
		}
	case reflect.Slice:
		if value.IsNil() {
			return
		}
		elements := reflect.MakeSlice(value.Type(), value.Len(), value.Len())
		reflect.Copy(elements, value)
		for i := range elements.Len() {
			copyReferences(elements.Index(i))
		}
		value.Set(elements)
	case reflect.Map:
		if value.IsNil() {
			return
		}
		mapping := reflect.MakeMap(value.Type())
		for _, key := range value.MapKeys() {
			element := reflect.New(value.Type().Elem()).Elem()
			element.Set(value.MapIndex(key))
			copyReferences(element)
			mapping.SetMapIndex(key, element)
		}
		value.Set(mapping)
	case reflect.Pointer:
		if value.IsNil() || value.Type() == randType || value.Type().Implements(protoType) {
			return
		}
		pointee := reflect.New(value.Type().Elem())
		pointee.Elem().Set(value.Elem())
		copyReferences(pointee.Elem())
		value.Set(pointee)
	default:
		panic(fmt.Sprintf("the model checker can't copy a field of type %s", value.Type()))
	}
}

// namePermutation replaces the one-letter names of the initial voters by each other. It also replaces the name at the
// beginning of the incarnation of a fixed member, which is the name, a slash and a number.
type namePermutation map[byte]byte

func (r namePermutation) apply(s string) string {
	if len(s) == 0 || len(s) > 1 && s[1] != '/' || r[s[0]] == 0 {
		return s
	}
	return string(r[s[0]]) + s[1:]
}

// canonicalEncoder encodes values in a canonical form, so that equal values have equal encodings. It replaces the names
// of members in them by a permutation.
type canonicalEncoder struct {
	bytes.Buffer
	names namePermutation
}

func (encoder *canonicalEncoder) number(n uint64) {
	var b [binary.MaxVarintLen64]byte
	encoder.Write(b[:binary.PutUvarint(b[:], n)])
}

func (encoder *canonicalEncoder) text(s string) {
	s = encoder.names.apply(s)
	encoder.number(uint64(len(s)))
	encoder.WriteString(s)
}

func (encoder *canonicalEncoder) value(value reflect.Value) {
	switch value.Kind() {
	case reflect.Bool:
		if value.Bool() {
			encoder.number(1)
		} else {
			encoder.number(0)
		}
	case reflect.Int, reflect.Int32, reflect.Int64:
		encoder.number(uint64(value.Int()))
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		encoder.number(value.Uint())
	case reflect.String:
		encoder.text(value.String())
	case reflect.Struct:
		encoder.fields(value)
	case reflect.Slice:
		encoder.list(value)
	case reflect.Map:
		encoder.mapping(value)
	case reflect.Pointer, reflect.Interface:
		if value.Type() == randType {
			return
		}
		if value.IsNil() {
			encoder.number(0)
			return
		}
		encoder.number(1)
		if value.Kind() == reflect.Interface {
			encoder.text(value.Elem().Type().String())
		}
		encoder.value(value.Elem())
	default:
		panic(fmt.Sprintf("the model checker can't encode a field of type %s", value.Type()))
	}
}

// encodedFields caches the indexes of the struct fields that canonicalEncoder encodes, by struct type. Of a protocol
// message it encodes only the exported fields, which are the ones sent on the wire.
var encodedFields sync.Map

func fieldsOf(t reflect.Type) []int {
	if indexes, known := encodedFields.Load(t); known {
		return indexes.([]int)
	}
	onWire := reflect.PointerTo(t).Implements(protoType)
	indexes := []int{}
	for i := range t.NumField() {
		if !onWire || t.Field(i).IsExported() {
			indexes = append(indexes, i)
		}
	}
	encodedFields.Store(t, indexes)
	return indexes
}

func (encoder *canonicalEncoder) fields(value reflect.Value) {
	for _, i := range fieldsOf(value.Type()) {
		encoder.value(value.Field(i))
	}
}

// list encodes a slice. Slices of strings are sets of members, and are sorted since their order has no meaning.
func (encoder *canonicalEncoder) list(value reflect.Value) {
	encoder.number(uint64(value.Len()))
	if value.Type().Elem().Kind() != reflect.String {
		for i := range value.Len() {
			encoder.value(value.Index(i))
		}
		return
	}
	names := make([]string, value.Len())
	for i := range names {
		names[i] = encoder.names.apply(value.Index(i).String())
	}
	slices.Sort(names)
	encoder.WriteString(strings.Join(names, ","))
}

func (encoder *canonicalEncoder) mapping(value reflect.Value) {
	var pairs []string
	for _, k := range value.MapKeys() {
		pair := canonicalEncoder{names: encoder.names}
		pair.value(k)
		pair.value(value.MapIndex(k))
		pairs = append(pairs, pair.String())
	}
	slices.Sort(pairs)
	encoder.number(uint64(len(pairs)))
	for _, p := range pairs {
		encoder.WriteString(p)
	}
}

// fingerprint is a 128-bit hash. The fingerprint of a group's state is the sum of those of its members, messages and
// history, and so doesn't depend on the order of the messages in flight.
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

const (
	maxPermutedVoters   = 4  // maximum number of voters whose names are permuted; the first of five keeps its name, so fewer equivalent states are found
	maxNamePermutations = 24 // number of permutations of maxPermutedVoters names: 4!
)

// initialVoterPermutations returns the permutations of the names of the initial voters. The first distinguished voters,
// which have special roles in the bounds of the search, keep their names. The first permutation is the identity.
func initialVoterPermutations(initialVoters, distinguished int) []namePermutation {
	names := []byte(strings.Join(slotNames[:initialVoters], ""))
	permuted := names[max(distinguished, initialVoters-maxPermutedVoters):]
	namePermutations := []namePermutation{}
	for _, images := range permutations(permuted) {
		names := namePermutation{}
		for i, name := range permuted {
			names[name] = images[i]
		}
		namePermutations = append(namePermutations, names)
	}
	return namePermutations
}

// permutations returns all orders of the letters, beginning with the order in which they are given.
func permutations(letters []byte) (orders [][]byte) {
	if len(letters) == 0 {
		return [][]byte{{}}
	}
	for i, first := range letters {
		rest := slices.Delete(slices.Clone(letters), i, i+1)
		for _, order := range permutations(rest) {
			orders = append(orders, append([]byte{first}, order...))
		}
	}
	return orders
}

// fingerprints are the fingerprints of a member, a message or a history, one for each permutation of the names of the
// initial voters in stateSpace.namePermutations; unused elements are zero.
type fingerprints [maxNamePermutations]fingerprint

// encodingOf returns the canonical encoding of values after a prefix that says what they describe, such as a message,
// so that values of different kinds never have the same encoding.
func encodingOf(names namePermutation, kind string, values ...any) string {
	encoder := canonicalEncoder{names: names}
	encoder.text(kind)
	for _, described := range values {
		encoder.value(reflect.ValueOf(described))
	}
	return encoder.String()
}

func (s *stateSpace) fingerprintsOf(encode func(namePermutation) string) (byPermutation fingerprints) {
	for i, names := range s.namePermutations {
		byPermutation[i] = hashOf([]byte(encode(names)))
	}
	return byPermutation
}

// The copy of a core that cloneCore returns shares nothing with the original that a step changes, every field of a core
// is encoded, and values that can't be encoded cause a panic. Otherwise the model checker would miss states.
func TestModelCopiesAndEncodesEveryField(t *testing.T) {
	core := newTestCore(BootstrapSnapshot("a", []string{"a", "b", "c"}), 1)
	core.campaign(candidate)
	before := encodingOf(nil, "core", core)
	copied := cloneCore(core)
	copied.votes["b"] = true
	copied.Propose(nil)
	copied.becomeLeader()
	if after := encodingOf(nil, "core", core); after != before {
		t.Fatal("steps of a copy made by cloneCore changed the encoding of the original core")
	}
	if other := encodingOf(nil, "core", copied); other == before {
		t.Fatal("the encoding of a core after it became leader is the same as before, want a different one")
	}
	for i := range reflect.TypeFor[Core]().NumField() {
		changed := cloneCore(core)
		f := settableField(reflect.ValueOf(changed).Elem().Field(i))
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
			if settableField(reflect.ValueOf(core).Elem().Field(i)).IsZero() || f.Kind() == reflect.Map || f.Kind() == reflect.Slice {
				continue // the field was empty before, or is a map or slice whose empty and nil values may have the same encoding
			}
		}
		if after := encodingOf(nil, "core", changed); after == before {
			t.Errorf("the encoding of a core doesn't change with its field %s", name)
		}
	}
	for _, v := range []any{make(chan int), func() {}, 1.5} {
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("a value of type %T was encoded, want a panic", v)
				}
			}()
			encodingOf(nil, "", v)
		}()
	}
}
