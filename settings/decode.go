package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

var validate = newValidate()

func newValidate() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	valid := func(field validator.FieldLevel) bool { return ident.Valid(field.Field().String()) }
	if err := validate.RegisterValidation("ident", valid); err != nil {
		panic(err)
	}
	return validate
}

// decode reads and checks the value of one setting: the keys are the field
// names in exactly their case, each at most once, and no others.
func decode[V any](path Path, raw json.RawMessage) (V, error) {
	var value V
	if err := checkKeys(raw, reflect.TypeFor[V]()); err != nil {
		return value, result.Errorf(result.InvalidSettings, "%s: %v", path, err)
	}
	if err := json.Unmarshal(raw, &value); err != nil {
		return value, result.Errorf(result.InvalidSettings, "%s: %s", path, explainJSON(err))
	}
	if err := validate.Struct(value); err != nil {
		return value, result.Errorf(result.InvalidSettings, "%s: %s", path, explainFields(err))
	}
	return value, nil
}

// checkKeys refuses a value that is not an object with the fields of shape.
// The json package would take a key in any case, and a key twice.
func checkKeys(raw json.RawMessage, shape reflect.Type) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	token, err := decoder.Token()
	if err != nil {
		return errors.Newf("%s is not JSON", clip(string(raw)))
	}
	if token != json.Delim('{') {
		return errors.Newf("%s: want an object with the fields %s", clip(string(raw)), fieldList(shape))
	}
	seen := make(map[string]bool)
	for decoder.More() {
		token, err = decoder.Token()
		if err != nil {
			return errors.Newf("%s is not JSON", clip(string(raw)))
		}
		key := fmt.Sprint(token)
		if _, found := shape.FieldByName(key); !found {
			return errors.Newf("unknown field %q: want %s", clip(key), fieldList(shape))
		}
		if seen[key] {
			return errors.Newf("field %s is given twice: want it once", key)
		}
		seen[key] = true
		var skipped json.RawMessage
		if err := decoder.Decode(&skipped); err != nil {
			return errors.Newf("%s is not JSON", clip(string(raw)))
		}
	}
	return nil
}

func fieldList(shape reflect.Type) string {
	names := make([]string, 0, shape.NumField())
	for i := range shape.NumField() {
		names = append(names, shape.Field(i).Name)
	}
	return strings.Join(names, ", ")
}

func explainJSON(err error) string {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return fmt.Sprintf("%s is a %s: want %s", mismatch.Field, mismatch.Value, jsonType(mismatch.Type))
	}
	return err.Error()
}

func jsonType(goType reflect.Type) string {
	switch goType.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	}
	return "a string"
}

func explainFields(err error) string {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return err.Error()
	}
	parts := make([]string, 0, len(fields))
	for _, field := range fields {
		parts = append(parts, fmt.Sprintf("%s is %v: %s", field.Field(), clip(fmt.Sprintf("%#v", field.Value())), allowed(field.Tag(), field.Param())))
	}
	return strings.Join(parts, "; ")
}

// allowed says in words what a validation tag asks for.
func allowed(tag, param string) string {
	switch tag {
	case "required":
		return "it must be set"
	case "required_without":
		return "it must be set where " + param + " is not"
	case "excluded_with":
		return "it must not be set together with " + param
	case "gt":
		return "more than " + param
	case "gte":
		return "at least " + param
	case "lte":
		return "at most " + param
	case "max":
		return "at most " + param + " characters"
	case "ident":
		return fmt.Sprintf("1 to %d of letters, digits, '.', '_', '-', ':' and '@'", ident.MaxLength)
	}
	return tag
}
