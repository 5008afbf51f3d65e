package cacell

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/config/cadocument"
	"celeryarch.example/celeryarch/internal/config/camerge"
)

// UnlimitedAmount stands for "unlimited" in each dimension of a limit. It is
// far above what a cell can hold and leaves room to add without overflow.
const UnlimitedAmount = math.MaxInt64 >> 8

// unlimited is how an absent limit is written.
const unlimited = "unlimited"

// Limit is the most that a team may have running over the whole cell.
type Limit struct {
	amount cawork.Resources
}

// Resources returns the limit; a dimension without limit is UnlimitedAmount.
func (l Limit) Resources() cawork.Resources { return l.amount }

// Unlimited reports whether no dimension has a limit.
func (l Limit) Unlimited() bool {
	return l.amount == cawork.Resources{CPU: UnlimitedAmount, Memory: UnlimitedAmount, Accelerators: UnlimitedAmount}
}

// Portion returns what a part of the limit amounts to: what lies below `to`
// less what lies below `from`, both in percent. Portions of adjoining ranges
// add up to the whole limit exactly.
//
// Example: a limit of 10 accelerators over the ranges 0-33, 33-66 and 66-100
// gives 3, 3 and 4.
func (l Limit) Portion(from, to int) cawork.Resources {
	return below(l.amount, to).Minus(below(l.amount, from))
}

func below(r cawork.Resources, percent int) cawork.Resources {
	return cawork.Resources{
		CPU:          cawork.MilliCPU(percentOf(int64(r.CPU), percent)),
		Memory:       cawork.Bytes(percentOf(int64(r.Memory), percent)),
		Accelerators: percentOf(r.Accelerators, percent),
	}
}

// percentOf splits the amount before it multiplies, so that it cannot
// overflow.
func percentOf(amount int64, percent int) int64 {
	p := int64(percent)
	return amount/100*p + amount%100*p/100
}

func (d limitDocument) limit() Limit {
	return Limit{cawork.Resources{
		CPU:          cawork.MilliCPU(d.Processors.amount()),
		Memory:       cawork.Bytes(d.Memory.amount()),
		Accelerators: d.Accelerators.amount(),
	}}
}

// bound is one dimension of a limit as a document gives it.
type bound struct {
	given     bool
	unlimited bool
	value     int64
}

func (b bound) amount() int64 {
	if b.unlimited {
		return UnlimitedAmount
	}
	return b.value
}

func (b bound) write(value any) []byte {
	if b.unlimited {
		value = unlimited
	}
	data, err := json.Marshal(value)
	if err != nil {
		panic("cacell: " + err.Error())
	}
	return data
}

// processors is a number of cores with up to three decimals.
type processors struct{ bound }

// DecodeNode implements cadocument.Decoder.
func (p *processors) DecodeNode(n camerge.Node) error {
	if n.Kind == camerge.KindText && n.Text == unlimited {
		p.bound = bound{given: true, unlimited: true}
		return nil
	}
	cores, err := strconv.ParseFloat(n.Text, 64)
	if n.Kind != camerge.KindNumber || err != nil {
		return fmt.Errorf(`must be a number of cores or "unlimited", not %s`, cadocument.Describe(n))
	}
	milli := math.Round(cores * 1000)
	if milli < 0 || milli > UnlimitedAmount || math.Abs(milli-cores*1000) > 1e-6 {
		return fmt.Errorf("must be a number of cores from 0 on with at most three decimals, not %s", n.Text)
	}
	p.bound = bound{given: true, value: int64(milli)}
	return nil
}

// EncodeNode implements cadocument.Encoder.
func (p processors) EncodeNode() []byte { return p.write(float64(p.value) / 1000) }

// memory is an amount of memory with its unit.
type memory struct{ bound }

// DecodeNode implements cadocument.Decoder.
func (m *memory) DecodeNode(n camerge.Node) error {
	if n.Kind == camerge.KindText && n.Text == unlimited {
		m.bound = bound{given: true, unlimited: true}
		return nil
	}
	if n.Kind != camerge.KindText {
		return fmt.Errorf(`must be an amount of memory with its unit, such as "64GiB", or "unlimited", not %s`, cadocument.Describe(n))
	}
	value, err := cadocument.ParseBytes(n.Text)
	if err != nil {
		return err
	}
	m.bound = bound{given: true, value: min(int64(value), UnlimitedAmount)}
	return nil
}

// EncodeNode implements cadocument.Encoder.
func (m memory) EncodeNode() []byte {
	return m.write(cadocument.FormatBytes(cawork.Bytes(m.value)))
}

// accelerators is a number of accelerators.
type accelerators struct{ bound }

// DecodeNode implements cadocument.Decoder.
func (a *accelerators) DecodeNode(n camerge.Node) error {
	if n.Kind == camerge.KindText && n.Text == unlimited {
		a.bound = bound{given: true, unlimited: true}
		return nil
	}
	count, err := strconv.ParseInt(n.Text, 10, 64)
	if n.Kind != camerge.KindNumber || err != nil || count < 0 || count > UnlimitedAmount {
		return fmt.Errorf(`must be a whole number from 0 on or "unlimited", not %s`, cadocument.Describe(n))
	}
	a.bound = bound{given: true, value: count}
	return nil
}

// EncodeNode implements cadocument.Encoder.
func (a accelerators) EncodeNode() []byte { return a.write(a.value) }
