package node

// WithDefaults returns a copy in which every field that was zero has its default.
func (o Options) WithDefaults() Options { return o.withDefaults() }
