package message_test

import (
	"reflect"
	"testing"
	"time"

	"coltsfootward"
	"coltsfootward/core/message"

	_ "coltsfootward/core/internal/testseed"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// fill sets every field of a struct to a random value, so that a comparison after a
// round trip finds fields that the codec omits or swaps.
func fill(t *rapid.T, v reflect.Value) {
	for i := range v.NumField() {
		field := v.Field(i)
		name := v.Type().Field(i).Name
		if !field.CanSet() {
			continue
		}
		switch field.Interface().(type) {
		case map[string][]string:
			h := rapid.MapOfN(rapid.String(), rapid.SliceOfN(rapid.String(), 1, 3), 1, 4).Draw(t, name)
			field.Set(reflect.ValueOf(h))
		case *coltsfootward.Refusal:
			r := coltsfootward.NewRefusal(coltsfootward.RefusalOverloaded, rapid.String().Draw(t, name)).
				WithRetryAfter(time.Duration(rapid.Int64().Draw(t, name))).WithFinal()
			field.Set(reflect.ValueOf(&r))
		case []message.Pressure:
			var pressures []message.Pressure
			for range rapid.IntRange(1, 3).Draw(t, name) {
				pressures = append(pressures, message.Pressure{Service: coltsfootward.ServiceName(rapid.String().Draw(t, name)), Excess: 0.5, Cost: rapid.Float64().Draw(t, name)})
			}
			field.Set(reflect.ValueOf(pressures))
		case message.Load, coltsfootward.Instance:
			fill(t, field)
		default:
			fillScalar(t, field, name)
		}
	}
}

func fillScalar(t *rapid.T, field reflect.Value, name string) {
	switch field.Kind() {
	case reflect.String:
		field.SetString(rapid.StringN(1, 20, -1).Draw(t, name))
	case reflect.Bool:
		field.SetBool(rapid.Bool().Draw(t, name))
	case reflect.Float64:
		field.SetFloat(rapid.Float64().Draw(t, name))
	case reflect.Uint32:
		field.SetUint(uint64(rapid.Uint32().Draw(t, name)))
	case reflect.Uint64:
		field.SetUint(rapid.Uint64().Draw(t, name))
	case reflect.Int, reflect.Int64:
		field.SetInt(rapid.Int64().Draw(t, name))
	default:
		t.Fatalf("field %s has kind %s, which this test does not support", name, field.Kind())
	}
}

// Guards against a field that is added to a message type but not to its codec, so that
// the field is lost on the wire.
func TestCodecsCarryEveryField(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for _, pair := range [][2]any{
			{&message.Call{}, &message.Call{}}, {&message.Response{}, &message.Response{}},
			{&message.Load{}, &message.Load{}}, {&message.ResponseEnd{}, &message.ResponseEnd{}},
			{&message.Draw{}, &message.Draw{}}, {&message.Grant{}, &message.Grant{}},
		} {
			fill(t, reflect.ValueOf(pair[0]).Elem())
			data, err := msgpack.Marshal(pair[0])
			if err != nil {
				t.Fatal(err)
			}
			if err := msgpack.Unmarshal(data, pair[1]); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(pair[0], pair[1]) {
				t.Fatalf("got %+v, want %+v", pair[1], pair[0])
			}
		}
	})
}

// Guards against malformed bytes from a peer that make a node panic or allocate much
// memory. Truncated messages must return an error; random bytes must not panic.
func TestDecodersRejectMalformedBytes(t *testing.T) {
	encoded, err := msgpack.Marshal(&message.Call{Request: "r", Header: map[string][]string{"A": {"b"}}, Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	for length := range encoded {
		if err := msgpack.Unmarshal(encoded[:length], &message.Call{}); err == nil {
			t.Errorf("got no error for %d of %d bytes of a call, want one", length, len(encoded))
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "data")
		_ = msgpack.Unmarshal(data, &message.Call{})
		_ = msgpack.Unmarshal(data, &message.Response{})
	})
}

// Guards against a node that peers of an older version can't understand although it uses
// nothing new.
func TestUnusedExtendedFieldsAreNotSent(t *testing.T) {
	for _, test := range []struct {
		value any
		want  int
	}{
		{&message.Call{Route: "orders"}, 21},
		{&message.Call{Sends: 1}, 24},
		{&message.Load{Running: 1}, 8},
		{&message.Load{Slowdown: 2}, 11},
		{&message.Response{Status: 200}, 4},
		{&message.Response{RetryGranted: true}, 5},
	} {
		encoded, err := msgpack.Marshal(test.value)
		if err != nil {
			t.Fatal(err)
		}
		var fields []any
		if err := msgpack.Unmarshal(encoded, &fields); err != nil {
			t.Fatal(err)
		}
		if len(fields) != test.want {
			t.Errorf("%+v: got %d fields, want %d", test.value, len(fields), test.want)
		}
	}
}
