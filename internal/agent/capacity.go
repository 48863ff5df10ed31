package agent

// pool counts the used units of a bounded resource. A total of zero admits
// nothing.
type pool struct {
	used, total int
}

func (p pool) fits(n int) bool { return p.used+n <= p.total }

// reservations are the slots and memory pieces that are reserved for attempts
// and not yet claimed.
type reservations struct{ slots, pieces int }

// capacity accounts for the slots and memory of an engine, or for the calls in
// progress at a plain service. The agent's lock guards it.
type capacity struct {
	slots    pool
	pieces   pool
	reserved reservations
	// freed is closed and replaced when slots or memory are released.
	freed chan struct{}
}

func newCapacity() capacity { return capacity{freed: make(chan struct{})} }

// acquire takes slots and pieces together. It changes nothing and reports false
// if they are not free.
func (c *capacity) acquire(slots, pieces int) bool {
	if !c.slots.fits(slots) || !c.pieces.fits(pieces) {
		return false
	}
	c.slots.used += slots
	c.pieces.used += pieces
	return true
}

// release returns acquired slots and pieces.
func (c *capacity) release(slots, pieces int) {
	c.slots.used -= slots
	c.pieces.used -= pieces
	c.notifyFreed()
}

// couldFit reports whether pieces and a slot would fit into the idle engine.
func (c *capacity) couldFit(pieces int) bool { return c.slots.total > 0 && pieces <= c.pieces.total }

// reserve reserves one slot and pieces for a later claim, even if they are not
// free now.
func (c *capacity) reserve(pieces int) {
	c.reserved.slots++
	c.reserved.pieces += pieces
}

// claimMemory acquires reserved pieces. It changes nothing and reports false if
// they are not free yet.
func (c *capacity) claimMemory(pieces int) bool {
	if !c.acquire(0, pieces) {
		return false
	}
	c.reserved.pieces -= pieces
	return true
}

// claimSlot acquires a reserved slot. It changes nothing and reports false if no
// slot is free yet.
func (c *capacity) claimSlot() bool {
	if !c.acquire(1, 0) {
		return false
	}
	c.reserved.slots--
	return true
}

// releaseReserved releases reserved slots and pieces that were not claimed.
func (c *capacity) releaseReserved(slots, pieces int) {
	c.reserved.slots -= slots
	c.reserved.pieces -= pieces
	c.notifyFreed()
}

func (c *capacity) notifyFreed() {
	close(c.freed)
	c.freed = make(chan struct{})
}
