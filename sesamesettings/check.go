package sesamesettings

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// Check validates settings and contract files without applying them, and all
// .yaml and .yml files in directories and their subdirectories. The kind of a
// document is recognized by its keys. Besides the checks of each file, Check
// reports conflicts between files: an ID used twice in a region, two contracts of
// one team, and lease timing that differs, since all processes of a deployment
// must share it. The error is a *ValidationError; files is the number of files
// read.
func Check(paths ...string) (files int, err error) {
	c := &checker{
		idPositions: map[string]string{},
		contracts:   newContractList(),
	}
	for _, path := range paths {
		c.checkPath(path)
	}
	return c.fileCount, validationErrorOrNil(append(c.problems, c.contracts.problems...))
}

// checker collects the problems of one call of Check, and what it needs to
// compare files with each other.
type checker struct {
	fileCount int
	problems  []*ProblemError
	contracts *contractList
	// idPositions holds the first position of each ID, as file:line, by
	// region/ID.
	idPositions map[string]string
	// leases is the timing in the first file that has one, leasesFile its path.
	// All other files must agree with it.
	leases     Leases
	leasesFile string
}

// checkPath checks a file of any name, or all .yaml and .yml files below a
// directory.
func (c *checker) checkPath(path string) {
	err := filepath.WalkDir(path, func(file string, e os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		extension := filepath.Ext(file)
		if !e.IsDir() && (file == path || extension == ".yaml" || extension == ".yml") {
			c.checkFile(file)
		}
		return nil
	})
	if err != nil {
		c.addError(fileProblem(path, 0, errors.UnwrapAll(err).Error()))
	}
}

// addError adds the problems of a *ValidationError.
func (c *checker) addError(err error) {
	var invalid *ValidationError
	if errors.As(err, &invalid) {
		c.problems = append(c.problems, invalid.Problems...)
	}
}

// checkFile checks all YAML documents of one file; a file without any is a
// problem.
func (c *checker) checkFile(file string) {
	c.fileCount++
	documents, err := readDocuments(file)
	if err != nil {
		c.addError(err)
		return
	}
	if len(documents) == 0 {
		c.addError(fileProblem(file, 0, "is empty"))
	}
	for _, d := range documents {
		c.checkDocument(d)
	}
}

// checkDocument recognizes the kind of a document by its top-level keys and
// checks it as that kind. The first case with a matching key decides: agents
// also have the key wire, so their case comes before that of entries. A document
// that matches no case is checked as a stand-in.
func (c *checker) checkDocument(d *document) {
	switch {
	case d.root.Kind != yaml.MappingNode:
		d.addProblem("", "is %s, expected settings or a contract", describeNode(d.root))
	case d.hasAnyTopLevelKey("team", "classes", "guarantees", "tokens"):
		c.contracts.addDocument(d)
		return
	case d.hasAnyTopLevelKey("callers", "ready"):
		settings := DefaultHostedEntry()
		d.decode(&settings)
		checkHostedEntry(d, settings)
	case d.hasAnyTopLevelKey("reports", "service"):
		settings := DefaultHostedAgent()
		d.decode(&settings)
		checkHostedAgent(d, settings)
	case d.hasAnyTopLevelKey("target", "entries", "connections"):
		settings := DefaultAgent()
		d.decode(&settings)
		checkAgent(d, settings)
		c.checkAcrossFiles(d, settings.Place.Region, settings.ID, settings.Leases)
	case d.hasAnyTopLevelKey("operators", "policy", "maxbody", "wire"):
		settings := DefaultEntry()
		d.decode(&settings)
		checkEntry(d, settings)
		c.checkAcrossFiles(d, settings.Place.Region, settings.ID, settings.Leases)
	default:
		settings := DefaultStandin()
		d.decode(&settings)
		checkStandin(d, settings)
	}
	c.problems = append(c.problems, d.problems...)
}

// hasAnyTopLevelKey reports whether the document has any of the keys at its top
// level. It works before decode, which fills keyLines.
func (d *document) hasAnyTopLevelKey(keys ...string) bool {
	for i := 0; i+1 < len(d.root.Content); i += 2 {
		for _, key := range keys {
			if d.root.Content[i].Value == key {
				return true
			}
		}
	}
	return false
}

// checkAcrossFiles compares an entry's or agent's settings with those of the
// files checked before: the ID must be new in its region, and the lease timing
// must be the same. The timing isn't compared if d has problems already.
func (c *checker) checkAcrossFiles(d *document, region, id string, leases Leases) {
	name := region + "/" + id
	place := fmt.Sprintf("%s:%d", d.file, d.lineOf("id"))
	if first, ok := c.idPositions[name]; ok && id != "" {
		d.addProblem("id", "%q is also the id at %s", id, first)
	} else {
		c.idPositions[name] = place
	}
	if c.leasesFile == "" {
		c.leases = leases
		c.leasesFile = d.file
	}
	if leases != c.leases && len(d.problems) == 0 {
		d.addProblem("leases", "differ from those of %s; all processes need the same", c.leasesFile)
	}
}
