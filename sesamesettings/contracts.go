package sesamesettings

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// LoadContracts reads and checks the contracts of a file, which holds one in
// each YAML document, or of all .yaml and .yml files directly in a directory,
// not in its subdirectories. It returns them sorted by team. The error is a
// *ValidationError; two contracts for one team are a problem.
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

// ParseContracts is LoadContracts for content that is already in memory. The
// argument file is the path that problems name.
func ParseContracts(file string, content []byte) ([]sesamemodel.Contract, error) {
	l := newContractList()
	documents, err := parseDocuments(file, content)
	l.addDocuments(file, documents, err)
	return l.sortedByTeam()
}

// contractFiles returns path itself, or the .yaml and .yml files directly in it
// if it is a directory. A directory without such files is a problem.
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
		return nil, fileProblem(path, 0, "contains no file ending in .yaml or .yml")
	}
	return files, nil
}

// contractList collects the contracts and problems of several files.
type contractList struct {
	contracts []sesamemodel.Contract
	problems  []*ProblemError
	// teamPositions holds the position of each team's first contract, as
	// file:line.
	teamPositions map[sesamemodel.TeamID]string
}

// newContractList returns an empty list.
func newContractList() *contractList {
	return &contractList{
		teamPositions: map[sesamemodel.TeamID]string{},
	}
}

// sortedByTeam returns the contracts sorted by team, with a *ValidationError if
// there are problems.
func (l *contractList) sortedByTeam() ([]sesamemodel.Contract, error) {
	sort.Slice(l.contracts, func(i, k int) bool {
		return l.contracts[i].Team < l.contracts[k].Team
	})
	return l.contracts, validationErrorOrNil(l.problems)
}

// addDocuments adds the documents that readDocuments or parseDocuments returned
// for a file, or the problems in their error. A file without documents is a
// problem.
func (l *contractList) addDocuments(file string, documents []*document, err error) {
	var invalid *ValidationError
	if errors.As(err, &invalid) {
		l.problems = append(l.problems, invalid.Problems...)
		return
	}
	if len(documents) == 0 {
		l.problems = append(l.problems, &ProblemError{
			File:    file,
			Message: "contains no contract",
		})
	}
	for _, d := range documents {
		l.addDocument(d)
	}
}

// addDocument decodes and checks one contract and adds it with its problems. A
// second contract of a team is a problem.
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

// The allowed ranges of a contract's values. Submit rates are in submissions a
// second, the burst is a number of submissions.
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

// checkContract adds a problem to d for each invalid value in c.
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

// checkShape checks a guaranteed shape at the path key: a number of workers with
// accelerators each, which must fit within the span, such as one rack.
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

// checkClasses checks that there is at least one job class and that each has a
// name of its own and a known urgency.
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
			d.addProblem(key+".name", "%q is also the name of another class", c.Name)
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

// checkLimits checks the limits on a team's use.
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

// checkTokenDigests checks that there is at least one digest of an access token
// and that none appears twice.
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
