package control

import (
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/savorytiller/savorytiller/internal/core/view"
)

// Guards against a changed server that traffic does not see, because the comparison with the
// published one lacks a field.
func TestEqualServerComparesAllFields(t *testing.T) {
	fields := reflect.TypeFor[view.Server]()
	for i := range fields.NumField() {
		var changed view.Server
		field := reflect.ValueOf(&changed).Elem().Field(i)
		switch field.Kind() {
		case reflect.Bool:
			field.SetBool(true)
		case reflect.Int:
			field.SetInt(1)
		case reflect.Uint8, reflect.Uint16, reflect.Uint32:
			field.SetUint(1)
		case reflect.Slice:
			field.Set(reflect.MakeSlice(field.Type(), 1, 1))
		case reflect.Struct:
			field.FieldByName("ID").SetString("a")
		default:
			t.Fatalf("field %s has kind %s", fields.Field(i).Name, field.Kind())
		}
		require.False(t, equalServer(&view.Server{}, &changed), fields.Field(i).Name)
	}
}
