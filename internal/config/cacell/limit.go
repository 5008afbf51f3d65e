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

// UnlimitedAmount represents "unlimited" in each dimension of a limit. It is
// far above the capacity of a cell, and small enough that sums do not overflow.
const UnlimitedAmount = math.MaxInt64 >> 8

// unlimitedText represents an absent limit in a document.
const unlimitedText = "unlimited"

// Limit is the maximum amount of resources that a team may use in the whole
// cell at a time.
type Limit struct {
	amount cawork.Resources
}

// Resources returns the limit; a dimension without limit is UnlimitedAmount.
func (l Limit) Resources() cawork.Resources { return l.amount }

// Unlimited reports whether no dimension has a limit.
func (l Limit) Unlimited() bool {
	return l.amount == cawork.Resources{CPU: UnlimitedAmount, Memory: UnlimitedAmount, Accelerators: UnlimitedAmount}
}

// Portion returns the part of the limit between two percentages: `to` percent
// of the limit minus `from` percent of it, each rounded down. Portions of
// adjacent ranges that cover 0 to 100 add up to the limit exactly.
//
// Example: a limit of 10 accelerators over the ranges 0-33, 33-66 and 66-100
// gives 3, 3 and 4.
func (l Limit) Portion(from, to int) cawork.Resources {
	return percentOfResources(l.amount, to).Minus(percentOfResources(l.amount, from))
}

func percentOfResources(r cawork.Resources, percent int) cawork.Resources {
	return cawork.Resources{
		CPU:          cawork.MilliCPU(percentOf(int64(r.CPU), percent)),
		Memory:       cawork.Bytes(percentOf(int64(r.Memory), percent)),
		Accelerators: percentOf(r.Accelerators, percent),
	}
}

// percentOf divides the amount before it multiplies, so that the product does
// not overflow.
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

// dimension is one dimension of a limit as written in a document.
type dimension struct {
	present   bool
	unlimited bool
	value     int64
}

func (d dimension) amount() int64 {
	if d.unlimited {
		return UnlimitedAmount
	}
	return d.value
}

func (d dimension) marshal(value any) []byte {
	if d.unlimited {
		value = unlimitedText
	}
	data, err := json.Marshal(value)
	if err != nil {
		panic("cacell: " + err.Error())
	}
	return data
}

// processors is a number of cores with up to three decimals.
type processors struct{ dimension }

// DecodeNode implements cadocument.Decoder.
func (p *processors) DecodeNode(n camerge.Node) error {
	if n.Kind == camerge.KindText && n.Text == unlimitedText {
		p.dimension = dimension{present: true, unlimited: true}
		return nil
	}
	cores, err := strconv.ParseFloat(n.Text, 64)
	if n.Kind != camerge.KindNumber || err != nil {
		return fmt.Errorf(`must be a number of cores or "unlimited", not %s`, cadocument.Describe(n))
	}
	milli := math.Round(cores * 1000)
	if milli < 0 || milli > UnlimitedAmount || math.Abs(milli-cores*1000) > 1e-6 {
		return fmt.Errorf("must be a non-negative number of cores with at most three decimals, not %s", n.Text)
	}
	p.dimension = dimension{present: true, value: int64(milli)}
	return nil
}

// EncodeNode implements cadocument.Encoder.
func (p processors) EncodeNode() []byte { return p.marshal(float64(p.value) / 1000) }

// memory is an amount of memory, written with its unit.
type memory struct{ dimension }

// DecodeNode implements cadocument.Decoder.
func (m *memory) DecodeNode(n camerge.Node) error {
	if n.Kind == camerge.KindText && n.Text == unlimitedText {
		m.dimension = dimension{present: true, unlimited: true}
		return nil
	}
	if n.Kind != camerge.KindText {
		return fmt.Errorf(`must be an amount of memory with its unit, such as "64GiB", or "unlimited", not %s`, cadocument.Describe(n))
	}
	value, err := cadocument.ParseBytes(n.Text)
	if err != nil {
		return err
	}
	m.dimension = dimension{present: true, value: min(int64(value), UnlimitedAmount)}
	return nil
}

// EncodeNode implements cadocument.Encoder.
func (m memory) EncodeNode() []byte {
	return m.marshal(cadocument.FormatBytes(cawork.Bytes(m.value)))
}

// accelerators is a number of accelerators.
type accelerators struct{ dimension }

// DecodeNode implements cadocument.Decoder.
func (a *accelerators) DecodeNode(n camerge.Node) error {
	if n.Kind == camerge.KindText && n.Text == unlimitedText {
		a.dimension = dimension{present: true, unlimited: true}
		return nil
	}
	count, err := strconv.ParseInt(n.Text, 10, 64)
	if n.Kind != camerge.KindNumber || err != nil || count < 0 || count > UnlimitedAmount {
		return fmt.Errorf(`must be a non-negative whole number or "unlimited", not %s`, cadocument.Describe(n))
	}
	a.dimension = dimension{present: true, value: count}
	return nil
}

// EncodeNode implements cadocument.Encoder.
func (a accelerators) EncodeNode() []byte { return a.marshal(a.value) }
