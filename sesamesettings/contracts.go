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
	return l.sortedByTeam()
}

// ParseContracts is LoadContracts for content that was read already; faults
// name it as file.
func ParseContracts(file string, content []byte) ([]sesamemodel.Contract, error) {
	l := newContractList()
	documents, err := parseDocuments(file, content)
	l.addDocuments(file, documents, err)
	return l.sortedByTeam()
}

func contractFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fileProblem(path, 0, errors.UnwrapAll(err).Error())
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, fileProblem(path, 0, errors.UnwrapAll(err).Error())
	}
	var files []string
	for _, e := range entries {
		extension := filepath.Ext(e.Name())
		if !e.IsDir() && (extension == ".yaml" || extension == ".yml") {
			files = append(files, filepath.Join(path, e.Name()))
		}
	}
	if len(files) == 0 {
		return nil, fileProblem(path, 0, "holds no file ending in .yaml or .yml")
	}
	return files, nil
}

// contractList gathers the contracts and faults of several files.
type contractList struct {
	contracts []sesamemodel.Contract
	problems  []*ProblemError
	// teamPositions is where each team's contract was seen first, as file:line.
	teamPositions map[sesamemodel.TeamID]string
}

func newContractList() *contractList {
	return &contractList{
		teamPositions: map[sesamemodel.TeamID]string{},
	}
}

// sortedByTeam returns the contracts in the order of their teams.
func (l *contractList) sortedByTeam() ([]sesamemodel.Contract, error) {
	sort.Slice(l.contracts, func(i, k int) bool {
		return l.contracts[i].Team < l.contracts[k].Team
	})
	return l.contracts, validationErrorOrNil(l.problems)
}

// addDocuments adds what was read of a file, or the faults of reading it.
func (l *contractList) addDocuments(file string, documents []*document, err error) {
	var invalid *ValidationError
	if errors.As(err, &invalid) {
		l.problems = append(l.problems, invalid.Problems...)
		return
	}
	if len(documents) == 0 {
		l.problems = append(l.problems, &ProblemError{
			File:    file,
			Message: "holds no contract",
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
	if first, ok := l.teamPositions[c.Team]; ok && c.Team != "" {
		d.addProblem("team", "%q has another contract at %s", c.Team, first)
	} else {
		l.teamPositions[c.Team] = fmt.Sprintf("%s:%d", d.file, d.lineOf("team"))
	}
	l.contracts = append(l.contracts, c)
	l.problems = append(l.problems, d.problems...)
}

// The ranges of a contract's values.
const (
	maxWeight               = 1000
	maxShapeWorkers         = 4096
	maxTeamOpenJobs         = 1_000_000
	minSubmitRate           = 0.001
	maxSubmitRate           = 10_000
	maxBurst                = 100_000
	maxRetriesPerHour       = 1_000_000
	maxBorrowedAccelerators = 1_000_000
)

func checkContract(d *document, c sesamemodel.Contract) {
	d.checkRequiredName("team", string(c.Team))
	checkRange(d, "weight", c.Weight, 1, maxWeight)
	for i, s := range c.Guarantees {
		d.checkShape(fmt.Sprintf("guarantees[%d]", i), s)
	}
	d.checkClasses(c.Classes)
	d.checkLimits(c.Limits)
	d.checkTokenDigests(c.TokenDigests)
}

func (d *document) checkShape(key string, s sesamemodel.Shape) {
	if d.hasProblem(key) {
		return
	}
	checkRange(d, key+".workers", s.Workers, 1, maxShapeWorkers)
	checkRange(d, key+".accelerators", s.Accelerators, 1, sesamemodel.MaxTargetAccelerators)
	if !d.requireKey(key + ".span") {
		return
	}
	d.checkOneOf(key+".span", string(s.Span),
		string(sesamemodel.SpanWorker),
		string(sesamemodel.SpanRack),
		string(sesamemodel.SpanZone),
		string(sesamemodel.SpanRegion),
	)
	if s.Span == sesamemodel.SpanWorker && s.Workers > 1 {
		d.addProblem(key+".workers", "is %d, expected 1 within the span worker", s.Workers)
	}
}

func (d *document) checkClasses(classes []sesamemodel.Class) {
	if !d.requireKey("classes") {
		return
	}
	if len(classes) == 0 {
		d.addProblem("classes", "is empty, expected at least one class")
	}
	seen := map[string]bool{}
	for i, c := range classes {
		key := fmt.Sprintf("classes[%d]", i)
		if d.hasProblem(key) {
			continue
		}
		d.checkRequiredName(key+".name", c.Name)
		if seen[c.Name] {
			d.addProblem(key+".name", "%q names another class too", c.Name)
		}
		seen[c.Name] = true
		if d.requireKey(key + ".urgency") {
			d.checkOneOf(key+".urgency", string(c.Urgency),
				string(sesamemodel.Urgent),
				string(sesamemodel.Normal),
				string(sesamemodel.Batch),
			)
		}
	}
}

func (d *document) checkLimits(l sesamemodel.Limits) {
	if !d.requireKey("limits") {
		return
	}
	checkRange(d, "limits.open", l.OpenJobs, 1, maxTeamOpenJobs)
	checkRange(d, "limits.rate", l.Rate, minSubmitRate, maxSubmitRate)
	checkRange(d, "limits.burst", l.Burst, 1, maxBurst)
	checkRange(d, "limits.retries", l.RetriesPerHour, 0, maxRetriesPerHour)
	checkRange(d, "limits.borrow", l.Borrow, 0, maxBorrowedAccelerators)
}

func (d *document) checkTokenDigests(tokens []string) {
	if !d.requireKey("tokens") {
		return
	}
	if len(tokens) == 0 {
		d.addProblem("tokens", "is empty, expected at least one digest")
	}
	seen := map[string]bool{}
	for i, token := range tokens {
		key := fmt.Sprintf("tokens[%d]", i)
		d.checkDigest(key, token)
		if seen[token] {
			d.addProblem(key, "repeats an earlier digest")
		}
		seen[token] = true
	}
}
