package sesamesettings

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// Check validates settings and contract files without using them, directories
// with everything below them. What a file holds is told from its keys. Besides
// the checks of each file it finds what does not agree between them: one ID of a
// region or one team used twice, and times that all processes of a deployment must share. The
// error is a *FaultsError; files is the number of files read.
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

type checker struct {
	fileCount int
	problems  []*ProblemError
	contracts *contractList
	// idPositions holds where each ID of a region was seen first, as file:line.
	idPositions map[string]string
	// leases are those of the file seen first, named by leasesFile.
	leases     Leases
	leasesFile string
}

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

func (c *checker) addError(err error) {
	var invalid *ValidationError
	if errors.As(err, &invalid) {
		c.problems = append(c.problems, invalid.Problems...)
	}
}

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
	case d.hasAnyTopLevelKey("operators", "policy", "maxbody", "queue", "wire"):
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

// hasAnyTopLevelKey reports whether the document has any of the keys at its top.
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

// checkAcrossFiles checks what the processes of a deployment must agree on.
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
