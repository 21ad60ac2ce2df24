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

// decode decodes and validates the value of one setting. Each key must be a field
// name in exactly its case, and must occur at most once.
func decode[V any](path Path, raw json.RawMessage) (V, error) {
	var value V
	if err := checkKeys(raw, reflect.TypeFor[V]()); err != nil {
		return value, result.Errorf(result.InvalidSettings, "%s: %v", path, err)
	}
	if err := json.Unmarshal(raw, &value); err != nil {
		return value, result.Errorf(result.InvalidSettings, "%s: %s", path, describeJSONError(err))
	}
	if err := validate.Struct(value); err != nil {
		return value, result.Errorf(result.InvalidSettings, "%s: %s", path, describeFieldErrors(err))
	}
	return value, nil
}

// checkKeys returns an error if raw is not an object whose keys are fields of
// structType, each at most once. Package json would accept keys in any case and
// duplicate keys.
func checkKeys(raw json.RawMessage, structType reflect.Type) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	token, err := decoder.Token()
	if err != nil {
		return errors.Newf("%s is not JSON", truncate(string(raw)))
	}
	if token != json.Delim('{') {
		return errors.Newf("%s: want an object with the fields %s", truncate(string(raw)), fieldList(structType))
	}
	seen := make(map[string]bool)
	for decoder.More() {
		token, err = decoder.Token()
		if err != nil {
			return errors.Newf("%s is not JSON", truncate(string(raw)))
		}
		key := fmt.Sprint(token)
		if _, found := structType.FieldByName(key); !found {
			return errors.Newf("unknown field %q: want %s", truncate(key), fieldList(structType))
		}
		if seen[key] {
			return errors.Newf("field %s is given twice: want it once", key)
		}
		seen[key] = true
		var skipped json.RawMessage
		if err := decoder.Decode(&skipped); err != nil {
			return errors.Newf("%s is not JSON", truncate(string(raw)))
		}
	}
	return nil
}

func fieldList(structType reflect.Type) string {
	names := make([]string, 0, structType.NumField())
	for i := range structType.NumField() {
		names = append(names, structType.Field(i).Name)
	}
	return strings.Join(names, ", ")
}

func describeJSONError(err error) string {
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

func describeFieldErrors(err error) string {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return err.Error()
	}
	parts := make([]string, 0, len(fields))
	for _, field := range fields {
		parts = append(parts, fmt.Sprintf("%s is %v: %s", field.Field(), truncate(fmt.Sprintf("%#v", field.Value())), describeRule(field.Tag(), field.Param())))
	}
	return strings.Join(parts, "; ")
}

// describeRule describes the requirement of a validation tag in words.
func describeRule(tag, param string) string {
	switch tag {
	case "required":
		return "it must be set"
	case "required_without":
		return "it must be set if " + param + " is not"
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
		return fmt.Sprintf("1 to %d characters from letters, digits, '.', '_', '-', ':' and '@'", ident.MaxLength)
	}
	return tag
}
