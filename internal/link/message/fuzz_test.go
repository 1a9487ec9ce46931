package message

import (
	"bytes"
	"encoding/hex"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
)

// filled sets every field of m and returns it, so that a seed reaches the decoder of
// every field.
func filled(m Message) Message {
	fill(reflect.ValueOf(m).Elem(), 0)
	return m
}

// fillDepth bounds the nesting of the fields that are set.
const fillDepth = 6

func fill(v reflect.Value, depth int) {
	if depth > fillDepth {
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Field(i).CanSet() {
				fill(v.Field(i), depth+1)
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), depth+1)
	case reflect.Array:
		fill(v.Index(0), depth+1)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, depth+1)
		fill(value, depth+1)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(0.5)
	case reflect.Int, reflect.Int32, reflect.Int64:
		v.SetInt(7)
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(7)
	default:
		panic("no message has a field of kind " + v.Kind().String())
	}
}

// FuzzRead decodes arbitrary bytes. Read must not panic, and a message that it accepts
// must encode to the same bytes after it was encoded and decoded once more.
func FuzzRead(f *testing.F) {
	for _, make := range constructors {
		frame, err := Append(nil, filled(make()))
		require.NoError(f, err)
		f.Add(frame)
	}
	f.Add([]byte{0, 0, 0, 0, 1})
	f.Add([]byte{0, 0, 0, 2, 1, 0xbf})
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		encoded, err := Append(nil, first)
		require.NoError(t, err)
		second, err := Read(bytes.NewReader(encoded))
		require.NoError(t, err)
		again, err := Append(nil, second)
		require.NoError(t, err)
		require.Equal(t, hex.EncodeToString(encoded), hex.EncodeToString(again))
	})
}
