package coordination

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caallowance"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
)

// The parts of escrowed limits.
type (
	// HolderID identifies a holder of allowances.
	HolderID = cawork.ShardID
	// Allowances keeps the part of the limits that one holder may use.
	Allowances = caallowance.Part
	// AllowanceConfig holds the settings of Allowances.
	AllowanceConfig = caallowance.Config
	// AllowancePolicy bounds how allowance is asked for and given.
	AllowancePolicy = caescrow.Policy
	// AllowanceDeps are the surroundings of Allowances.
	AllowanceDeps = caallowance.Deps
	// AllowancePeers carries the calls to other holders.
	AllowancePeers = caallowance.Peers
	// AllowanceJournal keeps the records of one holder.
	AllowanceJournal = caallowance.Journal
	// AllowanceRecord is a change of an account.
	AllowanceRecord = caallowance.Record
	// AllowanceAsk asks a holder for allowance.
	AllowanceAsk = caescrow.Ask
	// AllowanceReply answers an AllowanceAsk.
	AllowanceReply = caallowance.Reply
	// AllowanceTransfer tells a holder what another has given it in all.
	AllowanceTransfer = caescrow.Transfer
	// AllowanceNeed is what waits for allowance.
	AllowanceNeed = caescrow.Need
	// AllowancePartner is another holder.
	AllowancePartner = caescrow.Partner
	// TeamAmount is an amount of one team.
	TeamAmount = caescrow.TeamAmount
	// MintShare is the part of a limit that a holder mints.
	MintShare = caescrow.MintShare
	// ZoneShare is the part of a limit that falls to a zone.
	ZoneShare = caescrow.ZoneShare
	// Charge is allowance that work takes until it is released.
	Charge = caallowance.Charge
	// ChargeID identifies a charge.
	ChargeID = caallowance.ChargeID
)

// DefaultAllowanceConfig returns the settings for a few dozen holders.
func DefaultAllowanceConfig() AllowanceConfig { return caallowance.DefaultConfig() }

// NewAllowances returns the holder self with the account that the records of
// its journal describe, in any order; none for a new holder.
func NewAllowances(cfg AllowanceConfig, self HolderID, zone ZoneName, records []AllowanceRecord, deps AllowanceDeps) *Allowances {
	return caallowance.NewPart(cfg, self, zone, records, deps)
}

// DivideLimit splits a limit evenly among zones, so that the parts add up to it
// exactly.
func DivideLimit(limit Resources, zones []ZoneName) []ZoneShare { return caescrow.Divide(limit, zones) }

// NextMint returns the share to mint on the way from the current to the wanted
// one, when the parts of a limit move between holders. settledByAll reports
// that Allowances.IsMintSettled holds at every minting holder for the version of
// wanted.
func NextMint(current, wanted MintShare, partsMove, settledByAll bool) MintShare {
	return caescrow.NextMint(current, wanted, partsMove, settledByAll)
}
