package caevent

import "strings"

// maxTextBytes bounds a text in a log line that quotes what another system wrote.
const maxTextBytes = 256

// Clip returns a text that may quote what another system wrote, or its beginning with a mark if it
// is too long for a log line.
func Clip(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "") + "..."
}
