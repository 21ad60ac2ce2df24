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

// readValue returns a JSON value given as an argument, or that of a file where
// the argument is @FILE.
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

func checkJSON(value json.RawMessage, from string) (json.RawMessage, error) {
	if !json.Valid(value) {
		return nil, command.Usage(errors.Newf("%s is not one JSON value", from))
	}
	return value, nil
}

// readSettings returns the settings of a file or a folder by their paths. A file
// holds an object of kinds, each an object of names; a folder holds one file
// for each setting, <kind>/<name>.json.
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
		return nil, command.Usage(errors.Newf("%s: want one JSON object and nothing after it", name))
	}
	values := make(map[settings.Path]json.RawMessage)
	for kind, names := range kinds {
		for setting, value := range names {
			if err := add(values, settings.Address{Team: team, Kind: kind, Name: setting}, value, name); err != nil {
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
		return add(values, address, content, name)
	})
	if err != nil {
		return nil, command.Usage(err)
	}
	return values, nil
}

func add(values map[settings.Path]json.RawMessage, address settings.Address, value json.RawMessage, from string) error {
	path := address.Path()
	if _, err := settings.ParsePath(path); err != nil {
		return command.Usage(errors.Wrap(err, from))
	}
	if _, twice := values[path]; twice {
		return command.Usage(errors.Newf("%s: %s is given twice", from, path))
	}
	values[path] = value
	return nil
}

func sameJSON(one, other json.RawMessage) bool {
	var first, second any
	if json.Unmarshal(one, &first) != nil || json.Unmarshal(other, &second) != nil {
		return false
	}
	return reflect.DeepEqual(first, second)
}
