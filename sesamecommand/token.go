package sesamecommand

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/spf13/cobra"
)

func newToken(s streams) *cobra.Command {
	return &cobra.Command{
		Use:   "token [TOKEN]",
		Short: "Make an access token and its digest",
		Long: `Prints a new access token and its SHA-256 digest, or the digest of a given token.
The digest goes into a contract (tokens) or an entry's settings (operators); the
token goes to its holder and is kept nowhere else.`,
		Example: `  sesamestack token
  sesamestack token example-crews`,
		Args: atMostOne,
		RunE: func(_ *cobra.Command, args []string) error {
			token := rand.Text()
			if len(args) == 1 {
				token = args[0]
			}
			_, err := fmt.Fprintf(s.out, "token:  %s\ndigest: %s\n", token, digest([]byte(token)))
			return err
		},
	}
}

// digest returns the SHA-256 of the content, in hex.
func digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
