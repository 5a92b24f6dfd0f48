// Package sesamesettings reads and checks the YAML settings of every process
// and the contract files of operators.
//
// A file is always checked to its end, so that one call reports all problems:
// the error is a [ValidationError] that lists a [ProblemError] with file, line
// and key for each. Problems are unknown keys, wrong types, missing values,
// values out of range and values that contradict each other. Host names are
// rejected, because processes reach each other by IP address.
//
// # Usage
//
//	entry, err := sesamesettings.LoadEntry("entry.yaml")
//	var invalid *sesamesettings.ValidationError
//	if errors.As(err, &invalid) {
//		for _, p := range invalid.Problems {
//			fmt.Println(p.Error())
//		}
//	}
//
// A contract states what the operators guarantee one team and how much it may
// use. LoadContracts reads the contracts of one file, or of all YAML files in
// one directory:
//
//	contracts, err := sesamesettings.LoadContracts("examples/corchera")
//
// Check recognizes the kind of each file by the keys in it:
//
//	files, err := sesamesettings.Check("entry.yaml", "examples/corchera")
package sesamesettings
