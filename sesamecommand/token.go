package sesamecommand

import (
	"crypto/rand"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/sesamestack/sesamestack/sesamecontract"
)

// newToken returns the command that generates an access token and prints its
// digest; settings and contracts hold only the digest.
func newToken(s streams) *cobra.Command {
	return &cobra.Command{
		Use:   "token [TOKEN]",
		Short: "Generate an access token and its digest",
		Long: `Prints a new access token and its SHA-256 digest, or the digest of a given token.
The digest goes into a contract (tokens) or an entry's settings (operators); the
token goes to its holder and is stored nowhere else.`,
		Example: `  sesamestack token
  sesamestack token example-crews`,
		Args: atMostOne,
		RunE: func(_ *cobra.Command, args []string) error {
			token := rand.Text()
			if len(args) == 1 {
				token = args[0]
			}
			_, err := fmt.Fprintf(s.out, "token:  %s\ndigest: %s\n", token, sesamecontract.Digest(token))
			return err
		},
	}
}
