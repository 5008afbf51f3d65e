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

// payload is what one record of the log holds: the entries of one append,
// compressed, or a single entry.
type payload struct {
	Entry
	// Deflated holds the entries one after another, compressed with DEFLATE.
	Deflated []byte `cbor:",omitempty"`
	// Format is that of the payload as a whole. It is unset so far: the format
	// of a record stands in its body.
	Format caversion.Format `cbor:",omitempty"`
}

// Encoder encodes the entries of one append. Its compressor is kept, because
// it holds close to a megabyte. The zero value is ready for use.
type Encoder struct {
	compressor *flate.Writer
}

// Encode returns the payload of the entries.
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

// batchDecoder decodes payloads. Its decompressor is kept, because it holds
// tens of kilobytes.
type batchDecoder struct {
	source       bytes.Reader
	decompressor io.ReadCloser
}

// decode calls visit for each entry of a payload, in order. It holds one entry
// at a time. A payload that is not of this package is an error of KindInvalid,
// one of a later format a caversion.LaterError.
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
