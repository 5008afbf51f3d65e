package caquota

import (
	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// recordUnreadable reports whether a claim could not be decoded because it has a
// later format. It records the format and logs it when it changes. This entry then
// stops minting.
func (p *Manager) recordUnreadable(at caplatform.Offset, err error) bool {
	later, isLater := caversion.AsUnsupportedFormat(err)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !isLater {
		return false
	}
	if p.unreadableFormat != later.Format {
		caevent.Warn(p.Logger, caevent.RecordLater).Str("topic", claimTopic).Int("format", int(later.Format)).
			Int64("offset", int64(at)).Send()
	}
	p.unreadableFormat = later.Format
	return true
}

// UnreadableFormat returns the format of the claim that keeps this entry from
// minting because it cannot be read, or zero.
func (p *Manager) UnreadableFormat() caversion.Format {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unreadableFormat
}
