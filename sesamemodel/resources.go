package sesamemodel

// Resources is an amount of what a target offers or a task needs.
type Resources struct {
	// Cores is a number of processor cores.
	Cores int `json:"cores,omitempty" yaml:"cores"`
	// Memory is in MiB.
	Memory int `json:"memory,omitempty" yaml:"memory"`
	// Accelerators is a number of whole accelerators, at most
	// MaxTargetAccelerators on one target.
	Accelerators int `json:"accelerators,omitempty" yaml:"accelerators"`
	// Slots is the number of requests that an executor serves at a time.
	Slots int `json:"slots,omitempty" yaml:"slots"`
}

// MaxTargetAccelerators is the most accelerators that one target may offer,
// because an AcceleratorMask has 64 bits, one for each.
const MaxTargetAccelerators = 64

// Plus returns the sum of r and o, field by field.
func (r Resources) Plus(o Resources) Resources {
	return Resources{
		Cores:        r.Cores + o.Cores,
		Memory:       r.Memory + o.Memory,
		Accelerators: r.Accelerators + o.Accelerators,
		Slots:        r.Slots + o.Slots,
	}
}

// Minus returns r minus o, field by field; fields may become negative.
func (r Resources) Minus(o Resources) Resources {
	return r.Plus(o.Times(-1))
}

// Times returns r with every field multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{
		Cores:        r.Cores * n,
		Memory:       r.Memory * n,
		Accelerators: r.Accelerators * n,
		Slots:        r.Slots * n,
	}
}

// Fits reports whether no field of r exceeds the same field of capacity.
func (r Resources) Fits(capacity Resources) bool {
	return r.Cores <= capacity.Cores &&
		r.Memory <= capacity.Memory &&
		r.Accelerators <= capacity.Accelerators &&
		r.Slots <= capacity.Slots
}

// IsZero reports whether every field is zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// Negative reports whether any field is below zero.
func (r Resources) Negative() bool {
	return r.Cores < 0 || r.Memory < 0 || r.Accelerators < 0 || r.Slots < 0
}
