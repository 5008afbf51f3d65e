package caquota

import (
	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// noteLater notes whether the error of a claim says that only later programs
// read it, and reports it. Nothing is minted here then.
func (p *Part) noteLater(at caplatform.Offset, err error) bool {
	later, isLater := caversion.Later(err)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !isLater {
		return false
	}
	if p.later != later.Format {
		caevent.Warn(p.Logger, caevent.RecordLater).Str("topic", claimTopic).Int("format", int(later.Format)).
			Int64("offset", int64(at)).Send()
	}
	p.later = later.Format
	return true
}

// Later returns the format of the claim that stops this entry from minting,
// zero when none does.
func (p *Part) Later() caversion.Format {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.later
}
