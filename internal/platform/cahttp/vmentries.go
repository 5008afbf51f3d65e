package cahttp

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// receivedVMs is a VMListAnswer whose VMs are decoded one by one. The decoder of whole values
// refuses a list if one of its entries is nested too deeply, so that the list is split into
// entries token by token.
type receivedVMs struct {
	version string
	vms     []json.RawMessage
}

// DecodeBody implements cawire.BodyDecoder.
func (r *receivedVMs) DecodeBody(body []byte) error {
	d := newTokenDecoder(body)
	err := d.readObject(func(key string) (err error) {
		switch key {
		case "version":
			return d.Decode(&r.version)
		case "vms":
			r.vms, err = d.readArray(body)
			return err
		default:
			return d.skipValue()
		}
	})
	if err != nil {
		return err
	}
	return d.expectEnd()
}

// idOf returns the ID in the entry of a VM, or none if it cannot be read.
func idOf(entry json.RawMessage) cawork.VMID {
	var id cawork.VMID
	d := newTokenDecoder(entry)
	// Without an ID nothing is known of the entry.
	_ = d.readObject(func(key string) error {
		if key == "id" {
			return d.Decode(&id)
		}
		return d.skipValue()
	})
	return id
}

// tokenDecoder reads JSON of any depth token by token.
type tokenDecoder struct {
	*json.Decoder
}

func newTokenDecoder(b []byte) tokenDecoder {
	d := json.NewDecoder(bytes.NewReader(b))
	// A number of any size is a token.
	d.UseNumber()
	return tokenDecoder{d}
}

// readObject reads an object and calls read for each key, which reads its value.
func (d tokenDecoder) readObject(read func(key string) error) error {
	if err := d.expect(json.Delim('{')); err != nil {
		return err
	}
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return err
		}
		// The decoder returns nothing else as a key.
		key, _ := token.(string)
		if err := read(key); err != nil {
			return err
		}
	}
	return d.expect(json.Delim('}'))
}

// readArray reads an array, or null, and returns its elements, which are parts of body.
func (d tokenDecoder) readArray(body []byte) ([]json.RawMessage, error) {
	first, err := d.Token()
	if err != nil || first == nil {
		return nil, err
	}
	if first != json.Delim('[') {
		return nil, cakind.New(cakind.KindInvalid, "read %v, want an array", first)
	}
	var elements []json.RawMessage
	for d.More() {
		start := d.InputOffset()
		if err := d.skipValue(); err != nil {
			return nil, err
		}
		elements = append(elements, bytes.TrimLeft(body[start:d.InputOffset()], ", \t\r\n"))
	}
	return elements, d.expect(json.Delim(']'))
}

// skipValue reads a value and drops it.
func (d tokenDecoder) skipValue() error {
	for depth := 0; ; {
		token, err := d.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}

// expect reads one token, which must be the delimiter.
func (d tokenDecoder) expect(want json.Delim) error {
	token, err := d.Token()
	if err != nil {
		return err
	}
	if token != want {
		return cakind.New(cakind.KindInvalid, "read %v, want %v", token, want)
	}
	return nil
}

// expectEnd returns an error unless nothing but white space follows.
func (d tokenDecoder) expectEnd() error {
	token, err := d.Token()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return err
	}
	return cakind.New(cakind.KindInvalid, "read %v after the end", token)
}
