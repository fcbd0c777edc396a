package experiment

import (
	"encoding/binary"
	"math"
	"reflect"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"
)

// clone copies a state deeply. Times and functions are shared.
func clone(m *model) *model {
	return deepCopy(reflect.ValueOf(m)).Interface().(*model)
}

var timeType = reflect.TypeFor[time.Time]()

func deepCopy(v reflect.Value) reflect.Value {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return v
		}
		out := reflect.New(v.Type().Elem())
		out.Elem().Set(deepCopy(v.Elem()))
		return out
	case reflect.Map:
		if v.IsNil() {
			return v
		}
		out := reflect.MakeMapWithSize(v.Type(), v.Len())
		for it := v.MapRange(); it.Next(); {
			out.SetMapIndex(it.Key(), deepCopy(it.Value()))
		}
		return out
	case reflect.Slice:
		if v.IsNil() {
			return v
		}
		out := reflect.MakeSlice(v.Type(), v.Len(), v.Len())
		for i := range v.Len() {
			out.Index(i).Set(deepCopy(v.Index(i)))
		}
		return out
	case reflect.Struct:
		return copyStruct(v)
	}
	return v
}

func copyStruct(v reflect.Value) reflect.Value {
	out := reflect.New(v.Type()).Elem()
	out.Set(v)
	if v.Type() == timeType {
		return out
	}
	for i := range out.NumField() {
		f := out.Field(i)
		f = reflect.NewAt(f.Type(), unsafe.Pointer(f.UnsafeAddr())).Elem()
		f.Set(deepCopy(f))
	}
	return out
}

// fingerprint hashes a state.
func fingerprint(m *model) uint64 {
	d := xxhash.New()
	h := hasher{d, m.now}
	h.hash(reflect.ValueOf(m))
	return d.Sum64()
}

// hasher writes values with their times relative to now.
type hasher struct {
	d   *xxhash.Digest
	now time.Time
}

// oldest is the age beyond which the model does not tell times apart.
const oldest = 20 * time.Second

func (h hasher) word(w uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], w)
	h.d.Write(b[:])
}

func (h hasher) hash(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			h.word(0)
			return
		}
		h.hash(v.Elem())
	case reflect.Map:
		var sum uint64
		for it := v.MapRange(); it.Next(); {
			e := hasher{xxhash.New(), h.now}
			e.hash(it.Key())
			e.hash(it.Value())
			sum += e.d.Sum64()
		}
		h.word(sum)
	case reflect.Slice:
		h.word(uint64(v.Len()))
		for i := range v.Len() {
			h.hash(v.Index(i))
		}
	case reflect.Struct:
		h.hashStruct(v)
	case reflect.String:
		h.word(uint64(v.Len()))
		h.d.WriteString(v.String())
	case reflect.Bool:
		h.word(map[bool]uint64{true: 1}[v.Bool()])
	case reflect.Float64:
		h.word(math.Float64bits(v.Float()))
	case reflect.Func:
	default:
		if v.CanUint() {
			h.word(v.Uint())
			return
		}
		h.word(uint64(v.Int()))
	}
}

func (h hasher) hashStruct(v reflect.Value) {
	if v.Type() == timeType {
		h.age(h.since(v))
		return
	}
	for i := range v.NumField() {
		switch v.Type().Field(i).Name {
		case "now", "at", "boot", "world", "bound", "Submitted", "Ended", "model":
			if v.Type() != reflect.TypeFor[queueOwner]() {
				continue
			}
		case "clock", "Clock", "NotAfter":
			h.age(h.now.Sub(modelStart) - time.Duration(v.Field(i).Int()))
			continue
		case "Changed":
			h.age(h.now.Sub(time.UnixMilli(v.Field(i).Int())))
			continue
		}
		h.hash(v.Field(i))
	}
}

// since returns the age of a time in a member that is not exported. No time of
// the model has a monotonic part.
func (h hasher) since(v reflect.Value) time.Duration {
	now := reflect.ValueOf(h.now)
	seconds := now.Field(1).Int() - v.Field(1).Int()
	nanos := int64(now.Field(0).Uint()) - int64(v.Field(0).Uint())
	if seconds > int64(oldest/time.Second) {
		return oldest
	}
	return time.Duration(seconds)*time.Second + time.Duration(nanos)
}

func (h hasher) age(d time.Duration) { h.word(uint64(min(d, oldest))) }
