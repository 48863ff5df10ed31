package orders

// noteBits is the number of bits below the note number in a fencing token.
const noteBits = 32

// nextFence returns the fencing token of the next order: the number of the
// release note in the high bits and a counter in the low bits. It is greater than
// the highest token that the engine reports and the last one that this process
// sent, so tokens increase across restarts without stored state. A token of a later
// note is greater than all tokens of earlier notes, whatever their counters, and no
// clock is involved.
//
// ok is false when the engine has received orders of a later note: this process
// is then behind and must not send orders.
func nextFence(note, engineFence, sentFence uint64) (fence uint64, ok bool) {
	if engineFence>>noteBits > note {
		return 0, false
	}
	return max(engineFence, sentFence, note<<noteBits) + 1, true
}
