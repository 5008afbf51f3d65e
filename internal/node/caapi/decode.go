package caapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

// decodeStrict reads exactly one JSON value and rejects unknown fields.
func decodeStrict(r io.Reader, into any) error {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return decodeError(err)
	}
	if err := decoder.Decode(new(json.RawMessage)); !errors.Is(err, io.EOF) {
		return cakind.New(cakind.KindInvalid, "the body contains more than one JSON value")
	}
	return nil
}

func decodeError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return cakind.New(cakind.KindTooLarge, "the body has more than %d bytes", tooLarge.Limit)
	}
	return cakind.Wrap(cakind.KindInvalid, err, "the body is not a valid submission")
}
