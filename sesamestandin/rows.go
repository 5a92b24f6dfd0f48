package sesamestandin

import (
	"bytes"
	"slices"
	"strings"

	"github.com/sesamestack/sesamestack/sesametable"
)

// rows holds the rows of the table in memory.
type rows struct {
	live map[string]sesametable.Row
	// deletedVersions holds the versions that deleted rows had reached. A new
	// row with such a key continues from there, so that no version is used
	// twice.
	deletedVersions map[string]uint64
	// keys are the keys of the live rows, sorted.
	keys []string
}

// newRows returns an empty table.
func newRows() rows {
	return rows{
		live:            map[string]sesametable.Row{},
		deletedVersions: map[string]uint64{},
	}
}

// scan returns at most limit rows whose keys have the prefix and come after
// the given key, in the order of keys.
func (r *rows) scan(prefix, after string, limit int) []sesametable.Row {
	start, found := slices.BinarySearch(r.keys, max(prefix, after))
	if found && r.keys[start] == after {
		start++
	}
	var page []sesametable.Row
	for _, key := range r.keys[start:] {
		if !strings.HasPrefix(key, prefix) || len(page) == limit {
			break
		}
		page = append(page, cloneRow(r.live[key]))
	}
	return page
}

// cloneRow copies a row, so that callers cannot change the stored value.
func cloneRow(row sesametable.Row) sesametable.Row {
	row.Value = bytes.Clone(row.Value)
	return row
}

// apply applies the whole transaction, or nothing and returns a
// *sesametable.ConflictError.
func (r *rows) apply(t sesametable.Transaction) error {
	if err := r.checkVersions(t); err != nil {
		return err
	}
	for _, p := range t.Puts {
		r.put(p)
	}
	for _, d := range t.Deletes {
		r.remove(d.Key)
	}
	return nil
}

// checkVersions returns a *sesametable.ConflictError for the first row that has
// another version than the transaction expects.
func (r *rows) checkVersions(t sesametable.Transaction) error {
	for _, c := range t.Checks {
		if err := r.checkVersion(c.Key, c.Version); err != nil {
			return err
		}
	}
	for _, p := range t.Puts {
		if err := r.checkVersion(p.Key, p.Version); err != nil {
			return err
		}
	}
	for _, d := range t.Deletes {
		if err := r.checkVersion(d.Key, d.Version); err != nil {
			return err
		}
	}
	return nil
}

// checkVersion returns a *sesametable.ConflictError unless the row has this
// version; a missing row has version 0.
func (r *rows) checkVersion(key string, version uint64) error {
	found := r.live[key].Version
	if found == version {
		return nil
	}
	return &sesametable.ConflictError{
		Key:      key,
		Expected: version,
		Found:    found,
	}
}

// put writes a row and increments its version.
func (r *rows) put(p sesametable.Put) {
	row, exists := r.live[p.Key]
	if !exists {
		row.Key = p.Key
		row.Version = r.deletedVersions[p.Key]
		at, _ := slices.BinarySearch(r.keys, p.Key)
		r.keys = slices.Insert(r.keys, at, p.Key)
	}
	row.Version++
	row.Value = bytes.Clone(p.Value)
	r.live[p.Key] = row
}

// remove deletes a row and keeps its next version in deletedVersions.
func (r *rows) remove(key string) {
	row, exists := r.live[key]
	if !exists {
		return
	}
	r.deletedVersions[key] = row.Version + 1
	delete(r.live, key)
	at, _ := slices.BinarySearch(r.keys, key)
	r.keys = slices.Delete(r.keys, at, at+1)
}

// validate returns a *sesametable.InvalidError for a transaction that writes
// nothing, changes a row twice or deletes a row without a version.
func validate(t sesametable.Transaction) error {
	if len(t.Puts)+len(t.Deletes) == 0 {
		return invalid("transaction changes no row")
	}
	seen := map[string]bool{}
	for _, p := range t.Puts {
		if seen[p.Key] {
			return invalid("transaction writes row \"" + p.Key + "\" twice")
		}
		seen[p.Key] = true
	}
	for _, d := range t.Deletes {
		if seen[d.Key] || d.Version == 0 {
			return invalid("transaction cannot delete row \"" + d.Key + "\"")
		}
		seen[d.Key] = true
	}
	return nil
}

// invalid returns a *sesametable.InvalidError of a commit.
func invalid(detail string) error {
	return &sesametable.InvalidError{
		Operation: "commit",
		Detail:    detail,
	}
}
