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
		ids:       map[string]string{},
		contracts: newContractList(),
	}
	for _, path := range paths {
		c.path(path)
	}
	return c.files, faultsOrNil(append(c.faults, c.contracts.faults...))
}

type checker struct {
	files     int
	faults    []*FaultError
	contracts *contractList
	// ids holds where each ID of a region was seen first, as file:line.
	ids map[string]string
	// leases are those of the file seen first, named by leasesFrom.
	leases     Leases
	leasesFrom string
}

func (c *checker) path(path string) {
	err := filepath.WalkDir(path, func(file string, e os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		extension := filepath.Ext(file)
		if !e.IsDir() && (file == path || extension == ".yaml" || extension == ".yml") {
			c.file(file)
		}
		return nil
	})
	if err != nil {
		c.add(fileFault(path, 0, errors.UnwrapAll(err).Error()))
	}
}

func (c *checker) add(err error) {
	var faults *FaultsError
	if errors.As(err, &faults) {
		c.faults = append(c.faults, faults.Faults...)
	}
}

func (c *checker) file(file string) {
	c.files++
	documents, err := readDocuments(file)
	if err != nil {
		c.add(err)
		return
	}
	if len(documents) == 0 {
		c.add(fileFault(file, 0, "is empty"))
	}
	for _, d := range documents {
		c.document(d)
	}
}

func (c *checker) document(d *document) {
	switch {
	case d.root.Kind != yaml.MappingNode:
		d.fault("", "is %s, expected settings or a contract", describe(d.root))
	case d.sets("team", "classes", "guarantees", "tokens"):
		c.contracts.addDocument(d)
		return
	case d.sets("callers", "ready"):
		settings := DefaultHostedEntry()
		d.decode(&settings)
		checkHostedEntry(d, settings)
	case d.sets("reports", "service"):
		settings := DefaultHostedAgent()
		d.decode(&settings)
		checkHostedAgent(d, settings)
	case d.sets("target", "entries", "connections"):
		settings := DefaultAgent()
		d.decode(&settings)
		checkAgent(d, settings)
		c.shared(d, settings.Place.Region, settings.ID, settings.Leases)
	case d.sets("operators", "policy", "maxbody", "queue", "wire"):
		settings := DefaultEntry()
		d.decode(&settings)
		checkEntry(d, settings)
		c.shared(d, settings.Place.Region, settings.ID, settings.Leases)
	default:
		settings := DefaultStandin()
		d.decode(&settings)
		checkStandin(d, settings)
	}
	c.faults = append(c.faults, d.faults...)
}

// sets reports whether the document has any of the keys at its top.
func (d *document) sets(keys ...string) bool {
	for i := 0; i+1 < len(d.root.Content); i += 2 {
		for _, key := range keys {
			if d.root.Content[i].Value == key {
				return true
			}
		}
	}
	return false
}

// shared checks what the processes of a deployment must agree on.
func (c *checker) shared(d *document, region, id string, leases Leases) {
	name := region + "/" + id
	place := fmt.Sprintf("%s:%d", d.file, d.line("id"))
	if first, ok := c.ids[name]; ok && id != "" {
		d.fault("id", "%q is also the id at %s", id, first)
	} else {
		c.ids[name] = place
	}
	if c.leasesFrom == "" {
		c.leases = leases
		c.leasesFrom = d.file
	}
	if leases != c.leases && len(d.faults) == 0 {
		d.fault("leases", "differ from those of %s; all processes need the same", c.leasesFrom)
	}
}
