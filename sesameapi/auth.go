package sesameapi

import (
	"net/http"
	"strings"

	"github.com/sesamestack/sesamestack/sesamecontract"
	"github.com/sesamestack/sesamestack/sesamemodel"
)

// maxTokenLength bounds an access token; a longer one is refused as Unauthenticated.
const maxTokenLength = 512 // bytes

// tokenDigest returns the SHA-256 digest, in hex, of the access token in the
// request's Authorization header. It fails with Unauthenticated if the header has
// no Bearer token or one that is too long.
func tokenDigest(r *http.Request) (string, error) {
	token, ok := strings.CutPrefix(r.Header.Get(authorizationHeader), "Bearer ")
	if !ok || token == "" || len(token) > maxTokenLength {
		return "", newProblem(Unauthenticated, "")
	}
	return sesamecontract.Digest(token), nil
}

// callerContract returns the contract of the team that the request's token
// belongs to. It uses contracts that the store confirmed recently, so a token
// that was removed from a contract stops working as soon as any other change of
// contracts is in force.
func (h *Handler) callerContract(r *http.Request) (sesamemodel.Contract, error) {
	digest, err := tokenDigest(r)
	if err != nil {
		return sesamemodel.Contract{}, err
	}
	set, err := h.options.Contracts.Fresh(r.Context())
	if err != nil {
		return sesamemodel.Contract{}, err
	}
	if contract, ok := set.ByTokenDigest(digest); ok {
		return contract, nil
	}
	if h.operatorName(digest) != "" {
		return sesamemodel.Contract{}, newProblem(Forbidden, "this needs the token of a team")
	}
	return sesamemodel.Contract{}, newProblem(Unauthenticated, "")
}

// operator returns the name of the operator that the request's token belongs
// to. It works without any contracts, because operators have to add the first. It
// fails with Forbidden for a team's token and Unauthenticated for an unknown one.
func (h *Handler) operator(r *http.Request) (string, error) {
	digest, err := tokenDigest(r)
	if err != nil {
		return "", err
	}
	if name := h.operatorName(digest); name != "" {
		return name, nil
	}
	if set, err := h.options.Contracts.Set(); err == nil {
		if _, ok := set.ByTokenDigest(digest); ok {
			return "", newProblem(Forbidden, "this needs the token of an operator")
		}
	}
	return "", newProblem(Unauthenticated, "")
}

// operatorName returns the name of the operator with that token digest, or "".
// Because it compares digests, its timing reveals nothing about a token.
func (h *Handler) operatorName(digest string) string {
	for name, operatorDigest := range h.options.Operators {
		if strings.EqualFold(operatorDigest, digest) {
			return name
		}
	}
	return ""
}

// viewer is who asks for a job: a team, which may see its own jobs, or an
// operator, who may see all.
type viewer struct {
	// team is empty for an operator.
	team     sesamemodel.TeamID
	operator bool
}

// viewer returns the operator or the team that the request's token belongs to.
func (h *Handler) viewer(r *http.Request) (viewer, error) {
	if _, err := h.operator(r); err == nil {
		return viewer{
			operator: true,
		}, nil
	}
	contract, err := h.callerContract(r)
	return viewer{
		team: contract.Team,
	}, err
}
