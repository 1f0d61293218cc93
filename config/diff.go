package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Diff returns the fields that differ between two documents. Entries of a list
// are matched by name if they have one; the order of other lists is significant.
func Diff(before, after Document) []Change {
	d := &differ{}
	d.compare("", reflect.ValueOf(before), reflect.ValueOf(after))
	return d.changes
}

// differ compares values and collects the changes.
type differ struct{ changes []Change }

func (d *differ) compare(path string, before, after reflect.Value) {
	switch {
	case reflect.DeepEqual(before.Interface(), after.Interface()):
	case before.Kind() == reflect.Struct:
		d.compareStructs(path, before, after)
	case before.Kind() == reflect.Slice && hasName(before.Type().Elem()):
		d.compareNamed(path, before, after)
	default:
		d.add(path, ChangeChanged, text(before), text(after))
	}
}

func (d *differ) compareStructs(path string, before, after reflect.Value) {
	for i := range before.NumField() {
		name, _, _ := strings.Cut(before.Type().Field(i).Tag.Get("json"), ",")
		d.compare(join(path, name), before.Field(i), after.Field(i))
	}
}

// compareNamed compares lists whose entries are matched by name.
func (d *differ) compareNamed(path string, before, after reflect.Value) {
	old := byName(before)
	for i := range after.Len() {
		entry := after.Index(i)
		entryPath := fmt.Sprintf("%s[%s]", path, nameOf(entry))
		if match, ok := old[nameOf(entry)]; ok {
			d.compare(entryPath, match, entry)
		} else {
			d.add(entryPath, ChangeAdded, "", text(entry))
		}
	}
	kept := byName(after)
	for i := range before.Len() {
		entry := before.Index(i)
		if _, ok := kept[nameOf(entry)]; !ok {
			d.add(fmt.Sprintf("%s[%s]", path, nameOf(entry)), ChangeRemoved, text(entry), "")
		}
	}
}

func (d *differ) add(path string, kind ChangeKind, before, after string) {
	d.changes = append(d.changes, Change{Path: path, Kind: kind, Old: before, New: after})
}

func byName(list reflect.Value) map[string]reflect.Value {
	entries := make(map[string]reflect.Value)
	for i := range list.Len() {
		entries[nameOf(list.Index(i))] = list.Index(i)
	}
	return entries
}

// hasName reports whether list entries of type t are matched by name.
func hasName(t reflect.Type) bool {
	if t.Kind() != reflect.Struct {
		return false
	}
	_, ok := t.FieldByName("Name")
	return ok
}

func nameOf(entry reflect.Value) string { return entry.FieldByName("Name").String() }

// text returns a value as JSON, truncated after maxChangeBytes.
func text(v reflect.Value) string {
	raw, err := json.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface())
	}
	if len(raw) > maxChangeBytes {
		return strings.ToValidUTF8(string(raw[:maxChangeBytes]), "") + "..."
	}
	return string(raw)
}
