package coordination

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caallowance"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
)

// Types of escrowed limits.
type (
	// HolderID identifies a holder of allowances.
	HolderID = cawork.ShardID
	// Allowances manages the shares of the limits that one holder may use.
	Allowances = caallowance.Holder
	// AllowanceConfig holds the settings of Allowances.
	AllowanceConfig = caallowance.Config
	// AllowancePolicy bounds how allowance is requested and granted.
	AllowancePolicy = caescrow.Policy
	// AllowanceDeps are the dependencies of Allowances.
	AllowanceDeps = caallowance.Deps
	// AllowancePeers makes the calls to other holders.
	AllowancePeers = caallowance.Peers
	// AllowanceJournal stores the records of one holder.
	AllowanceJournal = caallowance.Journal
	// AllowanceRecord is a change of an account.
	AllowanceRecord = caallowance.Record
	// AllowanceAsk requests allowance from a holder.
	AllowanceAsk = caescrow.Ask
	// AllowanceReply answers an AllowanceAsk.
	AllowanceReply = caallowance.Reply
	// AllowanceTransfer carries the cumulative amount that one holder has sent
	// to another.
	AllowanceTransfer = caescrow.Transfer
	// AllowanceNeed is the allowance that queued work of a team needs.
	AllowanceNeed = caescrow.Need
	// AllowancePartner is another holder.
	AllowancePartner = caescrow.Partner
	// TeamAmount is an amount of one team.
	TeamAmount = caescrow.TeamAmount
	// MintShare is the share of a limit that a holder mints.
	MintShare = caescrow.MintShare
	// ZoneShare is the share of a limit that is minted in a zone.
	ZoneShare = caescrow.ZoneShare
	// Charge is allowance that is used by work until it is released.
	Charge = caallowance.Charge
	// ChargeID identifies a charge.
	ChargeID = caallowance.ChargeID
)

// DefaultAllowanceConfig returns settings for a few dozen holders.
func DefaultAllowanceConfig() AllowanceConfig { return caallowance.DefaultConfig() }

// NewAllowances returns the holder self with the account restored from the
// records of its journal, which may be in any order. A new holder has none.
func NewAllowances(cfg AllowanceConfig, self HolderID, zone ZoneName, records []AllowanceRecord, deps AllowanceDeps) *Allowances {
	return caallowance.NewHolder(cfg, self, zone, records, deps)
}

// DivideLimit splits a limit evenly among zones. The shares add up to the limit
// exactly.
func DivideLimit(limit Resources, zones []ZoneName) []ZoneShare { return caescrow.Divide(limit, zones) }

// NextMint returns the share that a holder may mint next on the way from the
// current share to the wanted one. divisionChanged is set when the limit is
// divided differently, so that some shares rise while others fall. settledByAll
// is set when Allowances.IsMintSettled is true for the version of wanted at
// every minting holder.
func NextMint(current, wanted MintShare, divisionChanged, settledByAll bool) MintShare {
	return caescrow.NextMint(current, wanted, divisionChanged, settledByAll)
}
