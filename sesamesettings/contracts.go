package sesamesettings

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// LoadContracts reads and checks the contracts of a file, one a YAML document,
// or of all files ending in .yaml or .yml of a directory, without its
// subdirectories. They are returned in the order of their teams. The error is
// a *FaultsError; a team with two contracts is a fault.
func LoadContracts(path string) ([]sesamemodel.Contract, error) {
	files, err := contractFiles(path)
	if err != nil {
		return nil, err
	}
	l := newContractList()
	for _, file := range files {
		documents, err := readDocuments(file)
		l.addDocuments(file, documents, err)
	}
	return l.sorted()
}

// ParseContracts is LoadContracts for content that was read already; faults
// name it as file.
func ParseContracts(file string, content []byte) ([]sesamemodel.Contract, error) {
	l := newContractList()
	documents, err := parseDocuments(file, content)
	l.addDocuments(file, documents, err)
	return l.sorted()
}

func contractFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fileFault(path, 0, errors.UnwrapAll(err).Error())
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, fileFault(path, 0, errors.UnwrapAll(err).Error())
	}
	var files []string
	for _, e := range entries {
		extension := filepath.Ext(e.Name())
		if !e.IsDir() && (extension == ".yaml" || extension == ".yml") {
			files = append(files, filepath.Join(path, e.Name()))
		}
	}
	if len(files) == 0 {
		return nil, fileFault(path, 0, "holds no file ending in .yaml or .yml")
	}
	return files, nil
}

// contractList gathers the contracts and faults of several files.
type contractList struct {
	contracts []sesamemodel.Contract
	faults    []*FaultError
	// first is where each team's contract was seen first, as file:line.
	first map[sesamemodel.TeamID]string
}

func newContractList() *contractList {
	return &contractList{
		first: map[sesamemodel.TeamID]string{},
	}
}

// sorted returns the contracts in the order of their teams.
func (l *contractList) sorted() ([]sesamemodel.Contract, error) {
	sort.Slice(l.contracts, func(i, k int) bool {
		return l.contracts[i].Team < l.contracts[k].Team
	})
	return l.contracts, faultsOrNil(l.faults)
}

// addDocuments adds what was read of a file, or the faults of reading it.
func (l *contractList) addDocuments(file string, documents []*document, err error) {
	var faults *FaultsError
	if errors.As(err, &faults) {
		l.faults = append(l.faults, faults.Faults...)
		return
	}
	if len(documents) == 0 {
		l.faults = append(l.faults, &FaultError{
			File:    file,
			Problem: "holds no contract",
		})
	}
	for _, d := range documents {
		l.addDocument(d)
	}
}

func (l *contractList) addDocument(d *document) {
	var c sesamemodel.Contract
	d.decode(&c)
	checkContract(d, c)
	if first, ok := l.first[c.Team]; ok && c.Team != "" {
		d.fault("team", "%q has another contract at %s", c.Team, first)
	} else {
		l.first[c.Team] = fmt.Sprintf("%s:%d", d.file, d.line("team"))
	}
	l.contracts = append(l.contracts, c)
	l.faults = append(l.faults, d.faults...)
}

// The ranges of a contract's values.
const (
	maxWeight       = 1000
	maxShapeWorkers = 4096
	maxOpen         = 1_000_000
	minSubmitRate   = 0.001
	maxSubmitRate   = 10_000
	maxBurst        = 100_000
	maxRetries      = 1_000_000
	maxBorrow       = 1_000_000
)

func checkContract(d *document, c sesamemodel.Contract) {
	d.name("team", string(c.Team))
	between(d, "weight", c.Weight, 1, maxWeight)
	for i, s := range c.Guarantees {
		d.shape(fmt.Sprintf("guarantees[%d]", i), s)
	}
	d.classes(c.Classes)
	d.limits(c.Limits)
	d.tokens(c.TokenDigests)
}

func (d *document) shape(key string, s sesamemodel.Shape) {
	if d.faulty(key) {
		return
	}
	between(d, key+".workers", s.Workers, 1, maxShapeWorkers)
	between(d, key+".accelerators", s.Accelerators, 1, sesamemodel.MaxTargetAccelerators)
	if !d.present(key + ".span") {
		return
	}
	d.oneOf(key+".span", string(s.Span),
		string(sesamemodel.SpanWorker),
		string(sesamemodel.SpanRack),
		string(sesamemodel.SpanZone),
		string(sesamemodel.SpanRegion),
	)
	if s.Span == sesamemodel.SpanWorker && s.Workers > 1 {
		d.fault(key+".workers", "is %d, expected 1 within the span worker", s.Workers)
	}
}

func (d *document) classes(classes []sesamemodel.Class) {
	if !d.present("classes") {
		return
	}
	if len(classes) == 0 {
		d.fault("classes", "is empty, expected at least one class")
	}
	seen := map[string]bool{}
	for i, c := range classes {
		key := fmt.Sprintf("classes[%d]", i)
		if d.faulty(key) {
			continue
		}
		d.name(key+".name", c.Name)
		if seen[c.Name] {
			d.fault(key+".name", "%q names another class too", c.Name)
		}
		seen[c.Name] = true
		if d.present(key + ".urgency") {
			d.oneOf(key+".urgency", string(c.Urgency),
				string(sesamemodel.Urgent),
				string(sesamemodel.Normal),
				string(sesamemodel.Batch),
			)
		}
	}
}

func (d *document) limits(l sesamemodel.Limits) {
	if !d.present("limits") {
		return
	}
	between(d, "limits.open", l.OpenJobs, 1, maxOpen)
	between(d, "limits.rate", l.Rate, minSubmitRate, maxSubmitRate)
	between(d, "limits.burst", l.Burst, 1, maxBurst)
	between(d, "limits.retries", l.RetriesPerHour, 0, maxRetries)
	between(d, "limits.borrow", l.Borrow, 0, maxBorrow)
}

func (d *document) tokens(tokens []string) {
	if !d.present("tokens") {
		return
	}
	if len(tokens) == 0 {
		d.fault("tokens", "is empty, expected at least one digest")
	}
	seen := map[string]bool{}
	for i, token := range tokens {
		key := fmt.Sprintf("tokens[%d]", i)
		d.digest(key, token)
		if seen[token] {
			d.fault(key, "repeats an earlier digest")
		}
		seen[token] = true
	}
}
