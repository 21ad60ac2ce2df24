package config

import (
	"net/netip"

	"github.com/go-playground/validator/v10"

	"github.com/hickoryhead/hickoryhead/ident"
)

func isIdentifier(field validator.FieldLevel) bool {
	return ident.Valid(field.Field().String())
}

func isIPPort(field validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(field.Field().String())
	return err == nil
}
