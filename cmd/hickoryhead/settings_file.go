package main

import (
	"bytes"
	"encoding/json"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/command"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/settings"
)

const settingsSuffix = ".json"

// readValue returns the JSON value in argument, or the content of FILE if the
// argument is @FILE.
func readValue(argument string) (json.RawMessage, error) {
	name, isFile := strings.CutPrefix(argument, "@")
	if !isFile {
		return checkJSON(json.RawMessage(argument), "VALUE")
	}
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, command.Usage(err)
	}
	return checkJSON(content, name)
}

// checkJSON returns value if it is valid JSON, and otherwise a usage error that
// names source.
func checkJSON(value json.RawMessage, source string) (json.RawMessage, error) {
	if !json.Valid(value) {
		return nil, command.Usage(errors.Newf("%s is not one JSON value", source))
	}
	return value, nil
}

// readSettings returns the settings in a file or a folder by their paths. A file
// contains a JSON object of kinds, each an object of names; a folder contains
// one file per setting, <kind>/<name>.json. Errors are usage errors.
func readSettings(team ident.TeamID, name string) (map[settings.Path]json.RawMessage, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, command.Usage(err)
	}
	if info.IsDir() {
		return readFolder(team, name)
	}
	return readFile(team, name)
}

func readFile(team ident.TeamID, name string) (map[settings.Path]json.RawMessage, error) {
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, command.Usage(err)
	}
	var kinds map[settings.Kind]map[string]json.RawMessage
	decoder := json.NewDecoder(bytes.NewReader(content))
	if err := decoder.Decode(&kinds); err != nil {
		return nil, command.Usage(errors.Wrapf(err, "%s: want an object of kinds, each an object of names", name))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, command.Usage(errors.Newf("%s: unexpected content after the JSON object", name))
	}
	values := make(map[settings.Path]json.RawMessage)
	for kind, names := range kinds {
		for setting, value := range names {
			if err := addSetting(values, settings.Address{Team: team, Kind: kind, Name: setting}, value, name); err != nil {
				return nil, err
			}
		}
	}
	return values, nil
}

func readFolder(team ident.TeamID, folder string) (map[settings.Path]json.RawMessage, error) {
	values := make(map[settings.Path]json.RawMessage)
	err := filepath.WalkDir(folder, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(name) != settingsSuffix {
			return err
		}
		content, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		if _, err := checkJSON(content, name); err != nil {
			return err
		}
		address := settings.Address{
			Team: team,
			Kind: settings.Kind(filepath.Base(filepath.Dir(name))),
			Name: strings.TrimSuffix(filepath.Base(name), settingsSuffix),
		}
		return addSetting(values, address, content, name)
	})
	if err != nil {
		return nil, command.Usage(err)
	}
	return values, nil
}

// addSetting adds a setting to values. An invalid path and a setting that is
// already present are usage errors that name source.
func addSetting(values map[settings.Path]json.RawMessage, address settings.Address, value json.RawMessage, source string) error {
	path := address.Path()
	if _, err := settings.ParsePath(path); err != nil {
		return command.Usage(errors.Wrap(err, source))
	}
	if _, exists := values[path]; exists {
		return command.Usage(errors.Newf("%s: duplicate setting %s", source, path))
	}
	values[path] = value
	return nil
}

// sameJSON reports whether two JSON documents decode to equal values,
// regardless of white space and the order of keys.
func sameJSON(a, b json.RawMessage) bool {
	var decodedA, decodedB any
	if json.Unmarshal(a, &decodedA) != nil || json.Unmarshal(b, &decodedB) != nil {
		return false
	}
	return reflect.DeepEqual(decodedA, decodedB)
}
