package peer

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/cockroachdb/errors"
)

// MinSecretLength is the shortest accepted shared key, in bytes.
const MinSecretLength = 32

// ErrUnauthenticated means that the remote side did not prove the fleet's shared
// key.
var ErrUnauthenticated = errors.New("peer did not prove the shared key")

// derivationLabel is the HKDF info string. It makes the derived key independent
// of keys that are derived from the same secret for other purposes.
const derivationLabel = "hickoryhead peer certificate v1"

// Identity is the TLS identity that a daemon presents to its peers and requires
// of them. Each daemon derives the same Ed25519 key from the fleet's shared key
// and presents a certificate for it over TLS 1.3. So both sides prove the shared
// key, and the connection is encrypted, without a certificate authority.
type Identity struct {
	certificate tls.Certificate
	accepted    []ed25519.PublicKey
}

// NewIdentity derives an identity from the shared key. Former keys are still
// accepted from peers, so that a key can be replaced without an interruption:
// every daemon is first configured with both keys, and the former one is removed
// once all daemons present the new one. Each key must have at least
// MinSecretLength bytes.
func NewIdentity(secret []byte, former ...[]byte) (*Identity, error) {
	private, err := deriveKey(secret)
	if err != nil {
		return nil, err
	}
	certificate, err := selfSigned(private)
	if err != nil {
		return nil, err
	}
	identity := &Identity{certificate: certificate}
	identity.accepted = append(identity.accepted, private.Public().(ed25519.PublicKey))
	for _, old := range former {
		oldPrivate, err := deriveKey(old)
		if err != nil {
			return nil, err
		}
		identity.accepted = append(identity.accepted, oldPrivate.Public().(ed25519.PublicKey))
	}
	return identity, nil
}

func deriveKey(secret []byte) (ed25519.PrivateKey, error) {
	if len(secret) < MinSecretLength {
		return nil, errors.Newf("shared key has %d bytes, want at least %d", len(secret), MinSecretLength)
	}
	seed, err := hkdf.Key(sha256.New, secret, nil, derivationLabel, ed25519.SeedSize)
	if err != nil {
		return nil, errors.Wrap(err, "derive peer key")
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// selfSigned returns a certificate that is valid at any time: VM clocks differ,
// and peers check only the key.
func selfSigned(private ed25519.PrivateKey) (tls.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "hickoryhead"},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Date(9999, 12, 31, 23, 59, 59, 0, time.UTC),
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "create peer certificate")
	}
	return tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: private}, nil
}

func (identity *Identity) config() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{identity.certificate},
		ClientAuth:   tls.RequireAnyClientCert,
		// There is no certificate authority and no host name to check.
		// VerifyConnection compares the key of the peer's certificate, and the
		// TLS 1.3 handshake proves that the peer has the private key.
		InsecureSkipVerify: true,
		VerifyConnection:   identity.verify,
		// Connections are long-lived, so a session ticket would cost more bytes
		// than it saves.
		SessionTicketsDisabled: true,
	}
}

func (identity *Identity) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return ErrUnauthenticated
	}
	key, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok {
		return ErrUnauthenticated
	}
	for _, accepted := range identity.accepted {
		if subtle.ConstantTimeCompare(key, accepted) == 1 {
			return nil
		}
	}
	return ErrUnauthenticated
}
