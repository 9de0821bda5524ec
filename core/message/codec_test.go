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

// fill sets every field of a struct to a value of its own, so that a field which the
// codec leaves out or mixes up shows.
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
			var below []message.Pressure
			for range rapid.IntRange(1, 3).Draw(t, name) {
				below = append(below, message.Pressure{Service: coltsfootward.ServiceName(rapid.String().Draw(t, name)), Excess: 0.5, Cost: rapid.Float64().Draw(t, name)})
			}
			field.Set(reflect.ValueOf(below))
		case message.Load, coltsfootward.Instance:
			fill(t, field)
		default:
			fillPlain(t, field, name)
		}
	}
}

func fillPlain(t *rapid.T, field reflect.Value, name string) {
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
		t.Fatalf("field %s has kind %s, which the test does not know", name, field.Kind())
	}
}

// Guards against a field that is added to a type and forgotten in its codec.
func TestCodecsCarryEveryField(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for _, pair := range [][2]any{
			{&message.Call{}, &message.Call{}}, {&message.Answer{}, &message.Answer{}},
			{&message.Load{}, &message.Load{}}, {&message.End{}, &message.End{}},
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

// Guards against a node that is stopped, or made to take much memory, by what a broken
// peer sends.
func TestCodecsRefuseBrokenBytes(t *testing.T) {
	whole, err := msgpack.Marshal(&message.Call{Request: "r", Header: map[string][]string{"A": {"b"}}, Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	for length := range whole {
		if err := msgpack.Unmarshal(whole[:length], &message.Call{}); err == nil {
			t.Errorf("%d of %d bytes are taken for a whole call", length, len(whole))
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "data")
		_ = msgpack.Unmarshal(data, &message.Call{})
		_ = msgpack.Unmarshal(data, &message.Answer{})
	})
}
