package sesamesettings_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamesettings"
)

// TestSettingsPage checks that docs/SETTINGS.md has a table row for every key
// that a settings or contract file may set.
func TestSettingsPage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "docs", "SETTINGS.md"))
	is.New(t).NoErr(err)
	for _, settings := range []any{
		sesamesettings.Entry{},
		sesamesettings.Agent{},
		sesamesettings.Standin{},
		sesamesettings.HostedEntry{},
		sesamesettings.HostedAgent{},
		sesamemodel.Contract{},
	} {
		for _, key := range settingsKeys(reflect.TypeOf(settings), "") {
			t.Run(key, func(t *testing.T) {
				is.New(t).True(strings.Contains(string(page), "| `"+key+"` |"))
			})
		}
	}
}

// settingsKeys returns the paths of all YAML keys of a settings type, such as
// place.zone, or guarantees[].span for a key of list items. Each starts with the
// prefix parent.
func settingsKeys(t reflect.Type, parent string) []string {
	var keys []string
	for i := range t.NumField() {
		field := t.Field(i)
		name := field.Tag.Get("yaml")
		if name == "" || name == "-" {
			continue
		}
		path := parent + name
		item := field.Type
		if item.Kind() == reflect.Slice {
			item = item.Elem()
			if item.Kind() == reflect.Struct {
				path += "[]"
			}
		}
		if item.Kind() == reflect.Struct {
			keys = append(keys, settingsKeys(item, path+".")...)
			continue
		}
		keys = append(keys, path)
	}
	return keys
}
