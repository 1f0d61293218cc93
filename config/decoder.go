package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// decoder decodes parsed JSON into typed values. It reports unknown and duplicate
// fields, continues after a problem and records the position of each field.
type decoder struct {
	checker *checker
}

// decode stores v in target, which must be addressable.
func (d *decoder) decode(v hujson.Value, target reflect.Value, path string) {
	d.checker.positions.offsets[path] = v.StartOffset
	if t, ok := target.Addr().Interface().(defaulter); ok {
		t.setDefaults()
	}
	if _, ok := target.Addr().Interface().(json.Unmarshaler); ok {
		d.decodeLiteral(v, target, path)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeStruct(v, target, path)
	case reflect.Slice:
		d.decodeSlice(v, target, path)
	default:
		d.decodeLiteral(v, target, path)
	}
}

func (d *decoder) decodeStruct(v hujson.Value, target reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.checker.report(path, ProblemType, "expected an object")
		return
	}
	fields := fieldsByName(target)
	seen := make(map[string]bool)
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		fieldPath := join(path, name)
		field, known := fields[name]
		switch {
		case !known:
			d.checker.positions.offsets[fieldPath] = m.Name.StartOffset
			d.checker.report(fieldPath, ProblemUnknown, "unknown field")
		case seen[name]:
			d.checker.reportAt(fieldPath, m.Name.StartOffset, ProblemDuplicate, "field is given twice")
		default:
			d.decode(m.Value, field, fieldPath)
		}
		seen[name] = true
	}
}

// fieldsByName maps JSON names to the fields of a struct.
func fieldsByName(target reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for i := range target.NumField() {
		name, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = target.Field(i)
	}
	return fields
}

func (d *decoder) decodeSlice(v hujson.Value, target reflect.Value, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.checker.report(path, ProblemType, "expected a list")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.decode(element, target.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *decoder) decodeLiteral(v hujson.Value, target reflect.Value, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' {
		d.checker.report(path, ProblemType, "expected "+kindName(target))
		return
	}
	if err := json.Unmarshal(literal, target.Addr().Interface()); err != nil {
		d.checker.report(path, ProblemType, fmt.Sprintf("expected %s, not %s", kindName(target), string(literal)))
	}
}

// kindName describes the values that target accepts, for error messages.
func kindName(target reflect.Value) string {
	switch target.Interface().(type) {
	case Duration:
		return `a duration such as "1.5s"`
	}
	switch target.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
