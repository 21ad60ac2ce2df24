package settingstable

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/result"
)

// Team is the JSON form of the row teams/<team>. The platform's administrator
// creates it for each team.
type Team struct {
	// CredentialSHA256 holds the hexadecimal SHA-256 hashes of the accepted
	// bearer tokens. There are two while a token is being replaced.
	CredentialSHA256 []string
}

// HashCredential returns the hash of a bearer token in the form that Team stores.
func HashCredential(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Accepts reports whether token is a credential of the team. Its duration does not
// depend on where token differs from a credential.
func (team Team) Accepts(token string) bool {
	hash := []byte(HashCredential(token))
	accepted := 0
	for _, credential := range team.CredentialSHA256 {
		accepted |= subtle.ConstantTimeCompare(hash, []byte(credential))
	}
	return accepted == 1
}

// Team returns the row of a team. For an unknown team it returns a Team without
// credentials and no error.
func (store *Store) Team(ctx context.Context, team ident.TeamID) (Team, error) {
	rows, err := store.Client.Read(ctx, teamPrefix+platform.Key(team))
	if err != nil || len(rows) == 0 {
		return Team{}, storeError(err)
	}
	return decodeRow[Team](rows[0])
}

// PutTeam creates or replaces the row of a team.
func (store *Store) PutTeam(ctx context.Context, team ident.TeamID, row Team) error {
	if !ident.Valid(team) {
		return result.Errorf(result.InvalidSettings, "invalid team name %q", team)
	}
	raw, err := json.Marshal(row)
	if err != nil {
		return err
	}
	_, err = store.Client.Commit(ctx, platform.Transaction{Writes: []platform.Write{{Key: teamPrefix + platform.Key(team), Value: raw}}})
	return storeError(err)
}
