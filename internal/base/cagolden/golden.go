// Package cagolden stores encoded values in golden files, with which tests check
// that later program versions decode them to the same values. A file is written
// once and never changed, because deployed programs have written such bytes.
package cagolden

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

// bytesPerLine is the number of encoded bytes on one line of a golden file.
const bytesPerLine = 40

// AddMissingVariable is the environment variable that makes Verify write missing golden
// files. Existing files are never changed.
const AddMissingVariable = "CELERYARCH_GOLDEN_ADD"

// Codec encodes and decodes values of one type.
type Codec struct {
	Encode func(value any) ([]byte, error)
	// Decode returns a value of the type of the sample.
	Decode func(data []byte) (any, error)
}

// Verify checks that the bytes in the golden file decode to the value dumped in
// that file, and that encoding and decoding the sample preserves it. The file
// holds the bytes in hexadecimal digits, an empty line, and the value as Dump
// writes it.
func Verify(path string, sample any, c Codec) error {
	data, err := c.Encode(sample)
	if err != nil {
		return err
	}
	if err := verifyDecoded(c, data, Dump(sample)); err != nil {
		return cakind.Wrap(cakind.KindInternal, err, "sample of %s", path)
	}
	golden, text, err := Read(path)
	if errors.Is(err, fs.ErrNotExist) && os.Getenv(AddMissingVariable) != "" {
		return writeFile(path, data, Dump(sample))
	}
	if err != nil {
		return err
	}
	return verifyDecoded(c, golden, text)
}

func verifyDecoded(c Codec, data []byte, text string) error {
	value, err := c.Decode(data)
	if err != nil {
		return err
	}
	if diff := cmp.Diff(text, Dump(value)); diff != "" {
		return cakind.New(cakind.KindInternal, "value mismatch (-want +got):\n%s", diff)
	}
	return nil
}

// Read returns the encoded bytes in a golden file and the dump of their value.
func Read(path string) (data []byte, text string, err error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, "", err
	}
	digits, value, ok := strings.Cut(string(content), "\n\n")
	data, err = hex.DecodeString(strings.ReplaceAll(digits, "\n", ""))
	if !ok || err != nil {
		return nil, "", cakind.New(cakind.KindInvalid, "golden file %s is malformed", path)
	}
	return data, value, nil
}

func writeFile(path string, data []byte, text string) error {
	var b bytes.Buffer
	for len(data) > 0 {
		n := min(len(data), bytesPerLine)
		b.WriteString(hex.EncodeToString(data[:n]) + "\n")
		data = data[n:]
	}
	b.WriteString("\n" + text)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, b.Bytes(), 0o600)
}

// NewFilled returns a pointer to a value of the type with every settable field filled
// with a non-zero value.
func NewFilled(t reflect.Type) reflect.Value {
	v := reflect.New(t)
	var f filler
	f.fill(v.Elem())
	return v
}
