package cacommand

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cli/caoption"
	"celeryarch.example/celeryarch/internal/config/cacell"
	"celeryarch.example/celeryarch/internal/config/cakey"
)

// keyFileMode lets the group of the operator read the file.
const keyFileMode = 0o640

// newKey is the answer of key new.
type newKey struct {
	ID     cacell.KeyID    `json:"id"`
	Team   cawork.TeamName `json:"team"`
	Key    string          `json:"key"`
	SHA256 cacell.KeyHash  `json:"sha256"`
	File   string          `json:"file,omitempty"`
}

// grantFile is the content of a file that grants a key.
type grantFile struct {
	Keys map[cacell.KeyID]grant `json:"keys"`
}

type grant struct {
	Team   cawork.TeamName `json:"team"`
	SHA256 cacell.KeyHash  `json:"sha256"`
}

// withdrawalFile is the content of a file that withdraws a key.
type withdrawalFile struct {
	Keys map[cacell.KeyID]withdrawal `json:"keys"`
}

type withdrawal struct {
	Withdrawn bool `json:"withdrawn"`
}

func (c command) keyNew(o caoption.KeyNew) error {
	issued := cakey.Generate()
	team := cawork.TeamName(o.Team)
	answer := newKey{ID: issued.ID, Team: team, Key: issued.Secret, SHA256: issued.Hash}
	content := encodeFile(grantFile{Keys: map[cacell.KeyID]grant{issued.ID: {Team: team, SHA256: issued.Hash}}})
	lines := []string{"key (shown only this once): " + issued.Secret, "key id: " + string(issued.ID)}
	if o.Dir == "" {
		lines = append(lines, "add to the configuration:", string(content))
		c.print(answer, lines...)
		return nil
	}
	answer.File = filepath.Join(o.Dir, fmt.Sprintf("50-key-%s.json", issued.ID))
	err := writeChecked(o.Dir, answer.File, content, func(config cacell.Config) bool {
		_, err := cakey.NewKeyring(config).Authenticate(issued.Secret)
		return err == nil
	})
	if err != nil {
		return err
	}
	c.print(answer, append(lines, "wrote "+answer.File+"; put it in force with: celeryarch config publish "+o.Dir)...)
	return nil
}

// withdrawn is the answer of key withdraw.
type withdrawn struct {
	ID   cacell.KeyID `json:"id"`
	File string       `json:"file"`
}

func (c command) keyWithdraw(o caoption.KeyWithdraw) error {
	id := cacell.KeyID(o.Args.ID)
	config, err := loadCell(o.Dir)
	if err != nil {
		return err
	}
	key, ok := keyOf(config, id)
	if !ok {
		return cakind.New(cakind.KindNotFound, "the folder %s has no key %q", o.Dir, id)
	}
	if key.Withdrawn {
		return cakind.New(cakind.KindConflict, "key %q is withdrawn already", id)
	}
	file := filepath.Join(o.Dir, fmt.Sprintf("90-key-%s-withdrawn.json", id))
	content := encodeFile(withdrawalFile{Keys: map[cacell.KeyID]withdrawal{id: {Withdrawn: true}}})
	err = writeChecked(o.Dir, file, content, func(config cacell.Config) bool {
		key, ok := keyOf(config, id)
		return ok && key.Withdrawn
	})
	if err != nil {
		return err
	}
	c.print(withdrawn{ID: id, File: file},
		"wrote "+file, "the key works until this is in force: celeryarch config publish "+o.Dir)
	return nil
}

func keyOf(config cacell.Config, id cacell.KeyID) (cacell.Key, bool) {
	for _, k := range config.Keys() {
		if k.ID == id {
			return k, true
		}
	}
	return cacell.Key{}, false
}

func encodeFile(value any) []byte {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		panic("cacommand: " + err.Error())
	}
	return append(data, '\n')
}

// writeChecked adds a file to a folder of configuration and takes it back
// when the folder then is refused or does not have the effect.
func writeChecked(dir, file string, content []byte, effect func(cacell.Config) bool) error {
	if err := writeNew(file, content); err != nil {
		return err
	}
	config, err := loadCell(dir)
	if err == nil && !effect(config) {
		err = cakind.New(cakind.KindConflict, "a later file of the folder overrides %s", file)
	}
	if err != nil {
		_ = os.Remove(file)
	}
	return err
}

// writeNew refuses to write over a file.
func writeNew(file string, content []byte) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return cakind.Wrap(cakind.KindInvalid, err, "cannot write")
	}
	_, err = f.Write(content)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		_ = os.Remove(file)
		return cakind.Wrap(cakind.KindInternal, err, "cannot write %s", file)
	}
	return nil
}
