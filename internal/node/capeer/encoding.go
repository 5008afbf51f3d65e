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
	compressFrom = 1 << 10
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

// compressors keeps compressors, each of which holds close to a megabyte.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.DefaultCompression)
	if err != nil {
		panic(err)
	}
	return w
}}

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
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(buf[1:])), maxMessage+1))
	if err != nil {
		return err
	}
	if len(plain) > maxMessage {
		return cakind.New(cakind.KindInvalid, "message of more than %d bytes", maxMessage)
	}
	return cbor.Unmarshal(plain, msg)
}
