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

const (
	tokenVariable  = "SESAMESTACK_TOKEN"
	entryVariable  = "SESAMESTACK_ENTRY"
	defaultAddress = "http://127.0.0.1:8080"
)

// clientFlags are the flags that all client commands share.
type clientFlags struct {
	entries []string
	timeout time.Duration
	json    bool
}

func (f *clientFlags) addTo(c *cobra.Command) {
	c.Flags().StringSliceVar(&f.entries, "entry", entriesFromEnvironment(), "base URLs of entries or their balancer, separated by commas ($"+entryVariable+")")
	c.Flags().DurationVar(&f.timeout, "timeout", 0, "bound on one request; 0 means the default of the client")
	c.Flags().BoolVar(&f.json, "json", false, "print the entry's answer as JSON")
}

func entriesFromEnvironment() []string {
	if value := os.Getenv(entryVariable); value != "" {
		return strings.Split(value, ",")
	}
	return []string{defaultAddress}
}

// client returns a client of the entries, or a *UsageError for an address that
// is no base URL.
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

// print writes the value as JSON when that was asked for, else by text.
func (f *clientFlags) print(w io.Writer, value any, text func(io.Writer) error) error {
	if !f.json {
		return text(w)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// textLine returns a text that is one textLine.
func textLine(format string, args ...any) func(io.Writer) error {
	return func(w io.Writer) error {
		_, err := fmt.Fprintf(w, format+"\n", args...)
		return err
	}
}

// columnGap is the space between two columns of a table.
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

// dashIfEmpty returns a dash in place of an empty text.
func dashIfEmpty(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
