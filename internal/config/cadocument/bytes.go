package cadocument

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

const tib = cawork.GiB << 10

type byteUnit struct {
	name string
	size cawork.Bytes
}

var byteUnits = []byteUnit{{"TiB", tib}, {"GiB", cawork.GiB}, {"MiB", cawork.MiB}, {"KiB", cawork.KiB}, {"B", 1}}

// ParseBytes parses an amount of memory such as "4GiB". The units are B, KiB,
// MiB, GiB and TiB.
func ParseBytes(text string) (cawork.Bytes, error) {
	digits := strings.TrimRight(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz ")
	unit := strings.TrimSpace(text[len(digits):])
	count, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || count < 0 {
		return 0, fmt.Errorf(`must be an amount of memory with its unit, such as "4GiB", not %q`, text)
	}
	for _, u := range byteUnits {
		if u.name == unit {
			return scaleBytes(text, count, u)
		}
	}
	return 0, fmt.Errorf("unit %q of %q is not one of B, KiB, MiB, GiB, TiB", unit, text)
}

func scaleBytes(text string, count int64, u byteUnit) (cawork.Bytes, error) {
	if count > math.MaxInt64/int64(u.size) {
		return 0, fmt.Errorf("%q is out of range", text)
	}
	return cawork.Bytes(count) * u.size, nil
}

// FormatBytes formats an amount of memory in the largest unit that divides it
// without a remainder.
func FormatBytes(b cawork.Bytes) string {
	for _, u := range byteUnits {
		if b != 0 && b%u.size == 0 {
			return strconv.FormatInt(int64(b/u.size), 10) + u.name
		}
	}
	return "0B"
}
