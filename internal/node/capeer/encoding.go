package capeer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

const (
	// minCompressedBytes is the smallest encoded size of a message to compress.
	minCompressedBytes = 4 << 10
	// maxMessageBytes limits the size of a compressed message after
	// decompression.
	maxMessageBytes = 16 << 20
	// compressedPrefix is the first byte of a compressed message. An uncompressed
	// message that begins with it is the CBOR number 0 and has no more bytes.
	compressedPrefix = 0
)

// Encoding encodes messages with CBOR and compresses large ones with DEFLATE.
type Encoding struct{}

// sendTracker encodes the message of one call. A connection sends nothing of a call before
// the message is encoded.
type sendTracker struct {
	Encoding
	encoded bool
}

// Marshal implements drpc.Encoding.
func (t *sendTracker) Marshal(msg drpc.Message) ([]byte, error) {
	t.encoded = true
	return t.Encoding.Marshal(msg)
}

// encodeMode encodes times with nanoseconds. The default of the library
// truncates them to seconds.
var encodeMode = newEncodeMode()

func newEncodeMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// compressors reuses compressors, each of which holds close to a megabyte. They
// favor speed over size, since a leader encodes thousands of messages a second.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	return w
}}

// decompressors reuses decompressors, each of which holds a window of 32 KiB.
var decompressors = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// Marshal implements drpc.Encoding.
func (Encoding) Marshal(msg drpc.Message) ([]byte, error) {
	plain, err := encodeMode.Marshal(msg)
	if err != nil || len(plain) < minCompressedBytes {
		return plain, err
	}
	return compress(plain)
}

func compress(plain []byte) ([]byte, error) {
	out := bytes.NewBuffer([]byte{compressedPrefix})
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(out)
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Unmarshal implements drpc.Encoding.
func (Encoding) Unmarshal(buf []byte, msg drpc.Message) error {
	if len(buf) <= 1 || buf[0] != compressedPrefix {
		return cbor.Unmarshal(buf, msg)
	}
	plain, err := decompress(buf[1:])
	if err != nil {
		return err
	}
	return cbor.Unmarshal(plain, msg)
}

// decompress returns the decompressed message, or an error if it is larger than
// maxMessageBytes.
func decompress(compressed []byte) ([]byte, error) {
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(compressed), nil); err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxMessageBytes {
		return nil, cakind.New(cakind.KindInvalid, "message is larger than %d bytes", maxMessageBytes)
	}
	return plain, nil
}
