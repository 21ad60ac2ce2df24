package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"

	"github.com/hickoryhead/hickoryhead/ident"
)

// Daemon holds the settings that routers and sidecars have in common. Addresses
// are IP:port.
type Daemon struct {
	VM       ident.VMID   `validate:"required,identifier"`
	Zone     ident.Zone   `validate:"required,identifier"`
	Region   ident.Region `validate:"required,identifier"`
	Platform string       `validate:"required,ipport"`
	// PeerListen is the address where other daemons connect.
	PeerListen string `validate:"required,ipport"`
	// Secret is the shared key of all daemons of the fleet.
	Secret string `validate:"required,min=32,max=1024"`
	// FormerSecrets are old keys that the daemon still accepts, so that the key
	// can be replaced while the fleet runs.
	FormerSecrets []string `json:",omitempty" validate:"max=4,dive,min=32,max=1024"`
	// StopTimeoutMs bounds a graceful stop; zero means 10 minutes.
	StopTimeoutMs int64 `json:",omitempty" validate:"gte=0,lte=86400000"`
}

// Router is the settings file of a router.
type Router struct {
	Daemon
	// CallerListen is the address to which the load balancer sends callers.
	CallerListen string `validate:"required,ipport"`
	// OperatorListen is the address for operators and monitoring.
	OperatorListen string `validate:"required,ipport"`
	// LeaveWaitMs is the time on shutdown between the failing of the readiness
	// check and the closing of the caller listener, in which the load balancer
	// stops sending callers.
	LeaveWaitMs int64 `json:",omitempty" validate:"gte=0,lte=600000"`
}

// Upstream describes the upstream that a sidecar serves. Exactly one of Model and
// Service is set.
type Upstream struct {
	ID      ident.UpstreamID  `validate:"required,identifier"`
	Address string            `validate:"required,ipport"`
	Model   ident.ModelName   `json:",omitempty" validate:"required_without=Service,excluded_with=Service,omitempty,identifier"`
	Service ident.ServiceName `json:",omitempty" validate:"omitempty,identifier"`
	Weight  float64           `json:",omitempty" validate:"gte=0,lte=1000"`
	// Limit is the maximum number of requests in flight at the upstream; zero
	// means 64.
	Limit int `json:",omitempty" validate:"gte=0,lte=100000"`
}

// Sidecar is the settings file of a sidecar.
type Sidecar struct {
	Daemon
	// HopListen is the address where routers send requests to the sidecar.
	HopListen string `validate:"required,ipport"`
	Upstream  Upstream
	// ReplayBytes bounds the replay buffer of one answer; zero means 1 MiB.
	ReplayBytes ident.Bytes `json:",omitempty" validate:"gte=0,lte=1073741824"`
	// PrefixTokenBytes is the size of one token of a cached prompt prefix; zero
	// means 512.
	PrefixTokenBytes ident.Bytes `json:",omitempty" validate:"gte=0,lte=16777216"`
	// PrefixBytesPerSecond limits the rate at which the upstream fetches cached
	// prompt prefixes; zero means 64 MiB.
	PrefixBytesPerSecond ident.Bytes `json:",omitempty" validate:"gte=0,lte=1099511627776"`
	// ClaimsPerSecond limits the rate of this sidecar's transactions on the
	// platform's table; zero means 20.
	ClaimsPerSecond float64 `json:",omitempty" validate:"gte=0,lte=10000"`
}

// Load reads and validates the settings file with the given name. Errors name the
// file.
func Load[T Router | Sidecar | Entry](name string) (T, error) {
	var loaded T
	content, err := os.ReadFile(name)
	if err != nil {
		return loaded, errors.Wrap(err, "settings file")
	}
	if err := Parse(content, &loaded); err != nil {
		return loaded, errors.Wrapf(err, "settings file %s", name)
	}
	return loaded, nil
}

// Parse decodes content, one JSON object, and validates the result. The error
// lists all values that are not allowed.
func Parse[T Router | Sidecar | Entry](content []byte, into *T) error {
	if err := Decode(content, into); err != nil {
		return err
	}
	return validateStruct(into)
}

// Decode decodes content, which must be one JSON object without unknown fields. It
// doesn't validate the values.
func Decode(content []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("want one JSON object and nothing after it")
	}
	return nil
}

func decodeError(err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return errors.Newf("%s: got a %s, want a %s", mismatch.Field, mismatch.Value, mismatch.Type)
	}
	return err
}

var validate = newValidate()

func newValidate() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	rules := map[string]validator.Func{"identifier": isIdentifier, "ipport": isIPPort}
	for tag, rule := range rules {
		if err := validate.RegisterValidation(tag, rule); err != nil {
			panic(err)
		}
	}
	return validate
}

func validateStruct(value any) error {
	err := validate.Struct(value)
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		return err
	}
	lines := make([]string, len(failures))
	for i, failure := range failures {
		lines[i] = describeFailure(failure)
	}
	return errors.New(strings.Join(lines, "; "))
}

// describeFailure returns an error text with the path of the field, its value and
// what is allowed. It hides the values of secrets.
func describeFailure(failure validator.FieldError) string {
	path := strings.TrimPrefix(failure.Namespace(), "Router.")
	path = strings.TrimPrefix(path, "Sidecar.")
	path = strings.TrimPrefix(path, "Entry.")
	path = strings.TrimPrefix(path, "Daemon.")
	value := fmt.Sprintf("%v", failure.Value())
	if strings.HasPrefix(path, "Secret") || strings.HasPrefix(path, "FormerSecrets") {
		value = "(hidden)"
	}
	return fmt.Sprintf("%s: got %q, want %s", path, value, allowedValue(failure))
}

func allowedValue(failure validator.FieldError) string {
	switch failure.Tag() {
	case "required":
		return "a value"
	case "required_without", "excluded_with":
		return "exactly one of Model and Service"
	case "identifier":
		return fmt.Sprintf("1 to %d of the characters A-Z a-z 0-9 . _ - : @", ident.MaxLength)
	case "ipport":
		return "an IP number and a port, such as 127.0.0.1:8080"
	case "gte":
		return "at least " + failure.Param()
	case "lte":
		return "at most " + failure.Param()
	case "min":
		return "a length of at least " + failure.Param()
	case "max":
		return "a length of at most " + failure.Param()
	}
	return failure.Tag() + " " + failure.Param()
}
