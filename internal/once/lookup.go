package once

// Lookup returns the state of a key and its stored answer, if any, without changing the ledger.
func (l *Ledger) Lookup(k Key) (State, *Answer) {
	e := l.keys[k]
	if e == nil {
		return StateNone, nil
	}
	return e.state, e.answer
}

// MarkFirstIncarnation records that no earlier incarnation of the target ran a caller's key, so the ledger holds every
// key that the target ever dispatched.
func (l *Ledger) MarkFirstIncarnation() { l.coverage.always = true }

// IsTicket reports whether the ID of a key is the text of a ticket.
func IsTicket(id string) bool {
	_, err := ParseTicket(id)
	return err == nil
}
