package sesamecommand

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/sesamestack/sesamestack/sesameapi"
)

// The environment variables of the client commands, and the address of the
// entry if neither --entry nor the variable names one.
const (
	tokenVariable  = "SESAMESTACK_TOKEN"
	entryVariable  = "SESAMESTACK_ENTRY"
	defaultAddress = "http://127.0.0.1:8080"
)

// clientFlags are the flags of every command that calls an entry. A timeout of
// 0 means the client's default.
type clientFlags struct {
	// entries are base URLs of entries or of their load balancer.
	entries []string
	timeout time.Duration
	json    bool
}

// addTo defines the flags on the command.
func (f *clientFlags) addTo(c *cobra.Command) {
	c.Flags().StringSliceVar(&f.entries, "entry", entriesFromEnvironment(), "base URLs of entries or of their load balancer, separated by commas ($"+entryVariable+")")
	c.Flags().DurationVar(&f.timeout, "timeout", 0, "time limit of one request; 0 means the client's default")
	c.Flags().BoolVar(&f.json, "json", false, "print the entry's answer as JSON")
}

// entriesFromEnvironment returns the base URLs in the environment variable, or
// the default address.
func entriesFromEnvironment() []string {
	if value := os.Getenv(entryVariable); value != "" {
		return strings.Split(value, ",")
	}
	return []string{defaultAddress}
}

// client returns a client that calls the entries of the flags, or a
// *UsageError for an address that is not an http or https URL.
func (f *clientFlags) client(c *cobra.Command) (*sesameapi.Client, error) {
	var addresses []string
	for _, entry := range f.entries {
		u, err := url.Parse(entry)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, &UsageError{
				Command: c.CommandPath(),
				Problem: fmt.Sprintf("entry is %q, expected a URL such as %s", entry, defaultAddress),
			}
		}
		addresses = append(addresses, strings.TrimSuffix(entry, "/"))
	}
	return sesameapi.NewClient(sesameapi.ClientOptions{
		Addresses: addresses,
		Token:     os.Getenv(tokenVariable),
		Timeout:   f.timeout,
	}), nil
}

// print writes the value as JSON if --json was given, otherwise it calls text,
// which writes the same answer for people.
func (f *clientFlags) print(w io.Writer, value any, text func(io.Writer) error) error {
	if !f.json {
		return text(w)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// textLine returns a function for print that writes one formatted line.
func textLine(format string, args ...any) func(io.Writer) error {
	return func(w io.Writer) error {
		_, err := fmt.Fprintf(w, format+"\n", args...)
		return err
	}
}

// columnGap is the number of spaces between two columns of a table.
const columnGap = 2

// writeTable writes rows of cells in aligned columns.
func writeTable(w io.Writer, rows [][]string) error {
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return table.Flush()
}

// dashIfEmpty returns the text, or "-" if it is empty.
func dashIfEmpty(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
