package caller

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strings"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

const (
	tokenVersion  = "v1"
	tokenMACBytes = 16
	maxTokenBytes = 512
)

// tokens creates and verifies the opaque values of the affinity header. A token
// contains the upstream that served the previous request of a chat and a MAC over
// it, the workspace and the chat, so that it cannot be forged or used for another
// chat.
type tokens struct {
	key []byte
}

func (tokens tokens) mac(workspace ident.WorkspaceID, chat ident.ChatID, upstream string) []byte {
	hash := hmac.New(sha256.New, tokens.key)
	hash.Write([]byte(tokenVersion + "\x00" + string(workspace) + "\x00" + string(chat) + "\x00" + upstream))
	return hash.Sum(nil)[:tokenMACBytes]
}

// seal returns a token for a chat that upstream served.
func (tokens tokens) seal(workspace ident.WorkspaceID, chat ident.ChatID, upstream ident.UpstreamID) string {
	encode := base64.RawURLEncoding.EncodeToString
	mac := tokens.mac(workspace, chat, string(upstream))
	return tokenVersion + "." + encode([]byte(upstream)) + "." + encode(mac)
}

// open verifies token and returns the upstream in it. Its error is a *result.Error
// with code InvalidAffinity.
func (tokens tokens) open(workspace ident.WorkspaceID, chat ident.ChatID, token string) (ident.UpstreamID, error) {
	parts := strings.Split(token, ".")
	if len(token) > maxTokenBytes || len(parts) != 3 || parts[0] != tokenVersion {
		return "", result.Errorf(result.InvalidAffinity, "unknown token format")
	}
	upstream, err := base64.RawURLEncoding.DecodeString(parts[1])
	if err != nil {
		return "", result.Errorf(result.InvalidAffinity, "unknown token format")
	}
	mac, err := base64.RawURLEncoding.DecodeString(parts[2])
	if err != nil || !hmac.Equal(mac, tokens.mac(workspace, chat, string(upstream))) {
		return "", result.Errorf(result.InvalidAffinity, "the token was not issued for this workspace and chat")
	}
	return ident.UpstreamID(upstream), nil
}
