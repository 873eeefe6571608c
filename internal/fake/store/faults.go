package store

import (
	"time"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
)

// Faults are what a store does wrong. The zero value is a healthy store.
type Faults struct {
	Down     bool          // every call fails
	Full     bool          // every write is refused
	Delay    time.Duration // before every call
	Truncate int           // pieces after which a read ends as if it were whole; zero is never
	Late     bool          // a piece of an earlier read goes out before each piece of the next one
	Crossed  bool          // the data of a piece of an earlier read takes the place of the right data
	Mute     bool          // generations are reported as if nothing were ever freed
	OnPiece  func(n int)   // called before the n-th piece of a read is copied, counting from one
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// faulty wraps the sending of a read's pieces.
func (s *Store) faulty(transfer uint64, send func(*egretv1.ReadResponse) error) func(*egretv1.ReadResponse) error {
	s.mu.Lock()
	f, late := s.faults, s.late
	s.mu.Unlock()
	n := 0
	return func(p *egretv1.ReadResponse) error {
		n++
		if f.Truncate > 0 && n > f.Truncate {
			return nil
		}
		if f.Mute {
			p.Generation = 1
		}
		s.remember(p)
		other := late != nil && late.Transfer != transfer
		if f.Late && other {
			if err := send(late); err != nil {
				return err
			}
		}
		if f.Crossed && other && len(late.Data) == len(p.Data) {
			p.Data = late.Data
		}
		return send(p)
	}
}

// remember keeps a piece to go out again in a later read.
func (s *Store) remember(p *egretv1.ReadResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = &egretv1.ReadResponse{
		Transfer: p.Transfer, Block: p.Block, Offset: p.Offset, Data: p.Data, Last: p.Last,
		Digest: p.Digest, Generation: p.Generation, Incarnation: p.Incarnation,
	}
}

// beforePiece runs the hook of a test, without the lock.
func (s *Store) beforePiece(n int) {
	s.mu.Lock()
	hook := s.faults.OnPiece
	s.mu.Unlock()
	if hook != nil {
		hook(n)
	}
}
