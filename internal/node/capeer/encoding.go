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
	// compressFrom is the size in bytes from which on a message is compressed.
	compressFrom = 4 << 10
	// maxMessage bounds a message that was compressed, in bytes.
	maxMessage = 16 << 20
	// compressedMark begins a compressed message. In CBOR it is the number 0,
	// which is a message of one byte.
	compressedMark = 0
)

// Encoding encodes messages with CBOR and compresses long ones with DEFLATE.
type Encoding struct{}

// encodeMode keeps times whole: the default of the library cuts them to
// seconds.
var encodeMode = newEncodeMode()

func newEncodeMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// compressors keeps compressors, each of which holds close to a megabyte. They
// trade size for speed, since a leader encodes thousands of messages a second.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	return w
}}

// decompressors keeps decompressors, each of which holds a window of 32 KiB.
var decompressors = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// Marshal implements drpc.Encoding.
func (Encoding) Marshal(msg drpc.Message) ([]byte, error) {
	plain, err := encodeMode.Marshal(msg)
	if err != nil || len(plain) < compressFrom {
		return plain, err
	}
	return compress(plain)
}

func compress(plain []byte) ([]byte, error) {
	out := bytes.NewBuffer([]byte{compressedMark})
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
	if len(buf) <= 1 || buf[0] != compressedMark {
		return cbor.Unmarshal(buf, msg)
	}
	plain, err := decompress(buf[1:])
	if err != nil {
		return err
	}
	return cbor.Unmarshal(plain, msg)
}

// decompress returns a message of at most maxMessage bytes.
func decompress(packed []byte) ([]byte, error) {
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(packed), nil); err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxMessage+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxMessage {
		return nil, cakind.New(cakind.KindInvalid, "message of more than %d bytes", maxMessage)
	}
	return plain, nil
}
