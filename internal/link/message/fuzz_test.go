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
func filled(m Message) Message { return filledWith(m, "x") }

// filledWith sets every field of m, those that hold a string to text, and returns it.
func filledWith(m Message, text string) Message {
	fill(reflect.ValueOf(m).Elem(), 0, text)
	return m
}

// fillDepth bounds the nesting of the fields that are set.
const fillDepth = 6

func fill(v reflect.Value, depth int, text string) {
	if depth > fillDepth {
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Field(i).CanSet() {
				fill(v.Field(i), depth+1, text)
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), depth+1, text)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), depth+1, text)
	case reflect.Array:
		fill(v.Index(0), depth+1, text)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, depth+1, text)
		fill(value, depth+1, text)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(text)
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

// FuzzAppend encodes each message with a text that comes from outside, such as a name that a caller has chosen, in all its strings. What
// Append accepts must be readable: a peer closes a link on which it reads anything else.
func FuzzAppend(f *testing.F) {
	for _, text := range []string{"", "model", "\x00\xff\xfe", "a\nb", string(make([]byte, 1<<10))} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		for _, make := range constructors {
			frame, err := Append(nil, filledWith(make(), text))
			if IsErrFrameTooLarge(err) {
				continue
			}
			require.NoError(t, err)
			_, err = Read(bytes.NewReader(frame))
			require.NoError(t, err)
		}
	})
}

// TestFrameOverTheLimitIsRefusedWhole guards against a part of a frame that is sent, after which the peer can't read the stream.
func TestFrameOverTheLimitIsRefusedWhole(t *testing.T) {
	report := &GatewayReport{Demand: []Demand{{Model: string(make([]byte, MaxFrameBytes))}}}
	buf, err := Append([]byte("before"), report)
	require.True(t, IsErrFrameTooLarge(err))
	require.Equal(t, "before", string(buf))
}
