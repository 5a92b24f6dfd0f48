// Package sesamesettings reads and checks the YAML settings of every process.
//
// # Usage
//
//	entry, err := sesamesettings.LoadEntry("entry.yaml")
package sesamesettings
