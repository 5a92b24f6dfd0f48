package sesameapi

import (
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strings"
)

// A Repr-Digest header (RFC 9530) has the digest in base64 between these.
const (
	digestPrefix = "sha-256=:"
	digestSuffix = ":"
)

// DigestError says that a response's Repr-Digest header has no SHA-256 digest.
type DigestError struct {
	// Header is the header's value; empty if it is missing.
	Header string
}

// Error names the header's value.
func (e *DigestError) Error() string {
	return fmt.Sprintf("%s header %q has no sha-256 digest", digestHeader, e.Header)
}

// formatDigest returns the Repr-Digest header for a SHA-256 digest in hex. It
// fails if the digest isn't hex.
func formatDigest(digest string) (string, error) {
	sum, err := hex.DecodeString(digest)
	if err != nil {
		return "", err
	}
	return digestPrefix + base64.StdEncoding.EncodeToString(sum) + digestSuffix, nil
}

// parseDigest returns the SHA-256 digest of a Repr-Digest header in hex, or a
// *DigestError.
func parseDigest(header string) (string, error) {
	text, ok := strings.CutPrefix(header, digestPrefix)
	sum, err := base64.StdEncoding.DecodeString(strings.TrimSuffix(text, digestSuffix))
	if !ok || err != nil {
		return "", &DigestError{
			Header: header,
		}
	}
	return hex.EncodeToString(sum), nil
}
