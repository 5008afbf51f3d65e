package calog

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	"github.com/fxamacker/cbor/v2"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/caversion"
)

// payload is the content of one record of the log: the compressed entries of
// one append, or a single uncompressed entry.
type payload struct {
	Entry
	// Deflated holds the concatenated entries, compressed with DEFLATE.
	Deflated []byte `cbor:",omitempty"`
	// Format is the format of the payload as a whole. No release sets it so far.
	// The format of a shard's record is part of the entry's body.
	Format caversion.Format `cbor:",omitempty"`
}

// Encoder encodes the entries of one append. It reuses its compressor, which
// holds close to a megabyte. The zero value is ready for use.
type Encoder struct {
	compressor *flate.Writer
}

// Encode returns the payload that holds the entries.
func (c *Encoder) Encode(entries []Entry) ([]byte, error) {
	var out bytes.Buffer
	if err := c.reset(&out); err != nil {
		return nil, cakind.Wrap(cakind.KindInternal, err, "compress log entries")
	}
	encoder := cbor.NewEncoder(c.compressor)
	for _, e := range entries {
		if err := encoder.Encode(e); err != nil {
			return nil, cakind.Wrap(cakind.KindInternal, err, "encode log entry of shard %s", e.Shard)
		}
	}
	if err := c.compressor.Close(); err != nil {
		return nil, cakind.Wrap(cakind.KindInternal, err, "compress log entries")
	}
	deflated := struct{ Deflated []byte }{out.Bytes()}
	body, err := cbor.Marshal(deflated)
	if err != nil {
		return nil, cakind.Wrap(cakind.KindInternal, err, "encode log entries")
	}
	return body, nil
}

func (c *Encoder) reset(w io.Writer) error {
	if c.compressor != nil {
		c.compressor.Reset(w)
		return nil
	}
	var err error
	c.compressor, err = flate.NewWriter(w, flate.DefaultCompression)
	return err
}

// batchDecoder decodes payloads. It reuses its decompressor, which holds tens of
// kilobytes.
type batchDecoder struct {
	source       bytes.Reader
	decompressor io.ReadCloser
}

// decode calls visit for each entry of a payload, in order. It keeps only one
// entry in memory at a time. It returns an error of KindInvalid for a payload
// that this package did not write, and a caversion.UnsupportedFormatError for a payload of
// a newer format.
func (d *batchDecoder) decode(body []byte, visit func(Entry)) error {
	if err := caversion.CheckFormatOf("log payload", body, caversion.FormatNewest); err != nil {
		return err
	}
	var p payload
	if err := cbor.Unmarshal(body, &p); err != nil {
		return cakind.Wrap(cakind.KindInvalid, err, "decode log payload")
	}
	if p.Deflated == nil {
		visit(p.Entry)
		return nil
	}
	if err := d.reset(p.Deflated); err != nil {
		return cakind.Wrap(cakind.KindInvalid, err, "decompress log entries")
	}
	decoder := cbor.NewDecoder(d.decompressor)
	for {
		var e Entry
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return cakind.Wrap(cakind.KindInvalid, err, "decode log entry")
		}
		visit(e)
	}
}

func (d *batchDecoder) reset(deflated []byte) error {
	d.source.Reset(deflated)
	if resetter, ok := d.decompressor.(flate.Resetter); ok {
		return resetter.Reset(&d.source, nil)
	}
	d.decompressor = flate.NewReader(&d.source)
	return nil
}
