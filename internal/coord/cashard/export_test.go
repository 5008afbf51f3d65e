package cashard

// SetGate installs a function that is called before each step of the part.
func (p *Part) SetGate(gate func()) { p.gate = gate }
