// Package sesamesettings reads and checks the YAML settings of every process
// and the contract files of operators.
//
// A file is checked whole: every fault is reported in one pass, each with its
// file, line and key, as a [ProblemError] inside a [ValidationError]. Unknown keys,
// wrong types, missing values, values out of range and values that contradict
// each other are faults. Names of hosts are refused: processes reach each other
// by IP numbers.
//
// # Usage
//
//	entry, err := sesamesettings.LoadEntry("entry.yaml")
//	var faults *sesamesettings.FaultsError
//	if errors.As(err, &faults) {
//		for _, f := range faults.Faults {
//			fmt.Println(f.Error())
//		}
//	}
//
// Contracts come from one file, or from all YAML files of one directory:
//
//	contracts, err := sesamesettings.LoadContracts("examples/corchera")
//
// Check finds out by itself what kind of file it is given:
//
//	files, err := sesamesettings.Check("entry.yaml", "examples/corchera")
package sesamesettings
