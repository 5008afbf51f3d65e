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

// keyNewResult is the output of key new.
type keyNewResult struct {
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
	result := keyNewResult{ID: issued.ID, Team: team, Key: issued.Secret, SHA256: issued.Hash}
	content := encodeFile(grantFile{Keys: map[cacell.KeyID]grant{issued.ID: {Team: team, SHA256: issued.Hash}}})
	lines := []string{"key (shown only this once): " + issued.Secret, "key id: " + string(issued.ID)}
	if o.Dir == "" {
		lines = append(lines, "add to the configuration:", string(content))
		c.print(result, lines...)
		return nil
	}
	result.File = filepath.Join(o.Dir, fmt.Sprintf("50-key-%s.json", issued.ID))
	err := writeVerified(o.Dir, result.File, content, func(config cacell.Config) bool {
		_, err := cakey.NewKeyring(config).Authenticate(issued.Secret)
		return err == nil
	})
	if err != nil {
		return err
	}
	c.print(result, append(lines, "wrote "+result.File+"; put it in force with: celeryarch config publish "+o.Dir)...)
	return nil
}

// keyWithdrawResult is the output of key withdraw.
type keyWithdrawResult struct {
	ID   cacell.KeyID `json:"id"`
	File string       `json:"file"`
}

func (c command) keyWithdraw(o caoption.KeyWithdraw) error {
	id := cacell.KeyID(o.Args.ID)
	config, err := loadCell(o.Dir)
	if err != nil {
		return err
	}
	key, ok := findKey(config, id)
	if !ok {
		return cakind.New(cakind.KindNotFound, "the folder %s has no key %q", o.Dir, id)
	}
	if key.Withdrawn {
		return cakind.New(cakind.KindConflict, "key %q is withdrawn already", id)
	}
	file := filepath.Join(o.Dir, fmt.Sprintf("90-key-%s-withdrawn.json", id))
	content := encodeFile(withdrawalFile{Keys: map[cacell.KeyID]withdrawal{id: {Withdrawn: true}}})
	err = writeVerified(o.Dir, file, content, func(config cacell.Config) bool {
		key, ok := findKey(config, id)
		return ok && key.Withdrawn
	})
	if err != nil {
		return err
	}
	c.print(keyWithdrawResult{ID: id, File: file},
		"wrote "+file, "the key works until this is in force: celeryarch config publish "+o.Dir)
	return nil
}

func findKey(config cacell.Config, id cacell.KeyID) (cacell.Key, bool) {
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

// writeVerified adds a file to a folder of configuration. It removes the file
// again if the folder is then invalid or the file does not take effect.
func writeVerified(dir, file string, content []byte, takesEffect func(cacell.Config) bool) error {
	if err := createFile(file, content); err != nil {
		return err
	}
	config, err := loadCell(dir)
	if err == nil && !takesEffect(config) {
		err = cakind.New(cakind.KindConflict, "a later file of the folder overrides %s", file)
	}
	if err != nil {
		_ = os.Remove(file)
	}
	return err
}

// createFile writes a new file. It fails if the file exists.
func createFile(file string, content []byte) error {
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
