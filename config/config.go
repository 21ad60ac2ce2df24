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

// Daemon holds what every daemon has to know. Addresses are IP:port.
type Daemon struct {
	VM       ident.VMID   `validate:"required,identifier"`
	Zone     ident.Zone   `validate:"required,identifier"`
	Region   ident.Region `validate:"required,identifier"`
	Platform string       `validate:"required,ipport"`
	// PeerListen is where other daemons reach this one.
	PeerListen string `validate:"required,ipport"`
	// Secret is the key that all daemons of the fleet share.
	Secret string `validate:"required,min=32,max=1024"`
	// FormerSecrets are still accepted while the key is being replaced.
	FormerSecrets []string `json:",omitempty" validate:"max=4,dive,min=32,max=1024"`
	// StopTimeoutMs bounds a graceful stop; zero means 10 minutes.
	StopTimeoutMs int64 `json:",omitempty" validate:"gte=0,lte=86400000"`
}

// Router is the settings file of a router.
type Router struct {
	Daemon
	// CallerListen is where the balancer sends the callers.
	CallerListen string `validate:"required,ipport"`
	// OperatorListen is where operators and monitoring reach the router.
	OperatorListen string `validate:"required,ipport"`
	// LeaveWaitMs is the time between the end of readiness and the end of
	// the listener, in which the balancer takes note.
	LeaveWaitMs int64 `json:",omitempty" validate:"gte=0,lte=600000"`
}

// Upstream describes the upstream beside a sidecar. Exactly one of Model and
// Service is set.
type Upstream struct {
	ID      ident.UpstreamID  `validate:"required,identifier"`
	Address string            `validate:"required,ipport"`
	Model   ident.ModelName   `json:",omitempty" validate:"required_without=Service,excluded_with=Service,omitempty,identifier"`
	Service ident.ServiceName `json:",omitempty" validate:"omitempty,identifier"`
	Weight  float64           `json:",omitempty" validate:"gte=0,lte=1000"`
	// Limit is the most requests in flight that the upstream takes; zero
	// means 64.
	Limit int `json:",omitempty" validate:"gte=0,lte=100000"`
}

// Sidecar is the settings file of a sidecar.
type Sidecar struct {
	Daemon
	// HopListen is where routers reach the sidecar.
	HopListen string `validate:"required,ipport"`
	Upstream  Upstream
	// ReplayBytes bounds the replay buffer of one answer; zero means 1 MiB.
	ReplayBytes ident.Bytes `json:",omitempty" validate:"gte=0,lte=1073741824"`
	// PrefixTokenBytes is the size of one token of a cached prefix, and
	// PrefixBytesPerSecond what the upstream may fetch of prefixes a second;
	// zero means 512 and 64 MiB.
	PrefixTokenBytes     ident.Bytes `json:",omitempty" validate:"gte=0,lte=16777216"`
	PrefixBytesPerSecond ident.Bytes `json:",omitempty" validate:"gte=0,lte=1099511627776"`
	// ClaimsPerSecond bounds this sidecar's transactions on the platform's
	// table; zero means 20.
	ClaimsPerSecond float64 `json:",omitempty" validate:"gte=0,lte=10000"`
}

// Load reads the file name into settings of a daemon and checks it.
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

// Parse reads content into settings of a daemon and checks it.
func Parse[T Router | Sidecar | Entry](content []byte, into *T) error {
	if err := Decode(content, into); err != nil {
		return err
	}
	return check(into)
}

// Decode reads content, which is one JSON object without unknown fields, into a
// value and checks nothing else.
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
	made := validator.New(validator.WithRequiredStructEnabled())
	rules := map[string]validator.Func{"identifier": isIdentifier, "ipport": isIPPort}
	for tag, rule := range rules {
		if err := made.RegisterValidation(tag, rule); err != nil {
			panic(err)
		}
	}
	return made
}

func check(value any) error {
	err := validate.Struct(value)
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		return err
	}
	lines := make([]string, len(failures))
	for i, failure := range failures {
		lines[i] = describe(failure)
	}
	return errors.New(strings.Join(lines, "; "))
}

// describe names the path, the value and what is allowed there.
func describe(failure validator.FieldError) string {
	path := strings.TrimPrefix(failure.Namespace(), "Router.")
	path = strings.TrimPrefix(path, "Sidecar.")
	path = strings.TrimPrefix(path, "Entry.")
	path = strings.TrimPrefix(path, "Daemon.")
	value := fmt.Sprintf("%v", failure.Value())
	if strings.HasPrefix(path, "Secret") || strings.HasPrefix(path, "FormerSecrets") {
		value = "(hidden)"
	}
	return fmt.Sprintf("%s: got %q, want %s", path, value, allowed(failure))
}

func allowed(failure validator.FieldError) string {
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
