package quarantine

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// servedSlots is the number of parts whose last answer is remembered. A part that falls into a slot in use replaces the other one,
	// so that memory is bounded whatever IDs callers send.
	servedSlots = 1 << 14
	// servedUnit is the resolution of the times.
	servedUnit = 10 * time.Millisecond
)

// servedTable remembers when parts were last answered. It takes no locks. A time is rounded down, never up.
type servedTable struct {
	epoch time.Time                  // earlier than all recorded times
	slots [servedSlots]atomic.Uint64 // upper half: tag of the part, lower half: time in servedUnit since the epoch
}

func hash(p Part) uint64 { return xxhash.Sum64String(p.Model + "\x00" + p.ID) }

func (s *servedTable) record(p Part, now time.Time) {
	h := hash(p)
	units := uint64(max(now.Sub(s.epoch)/servedUnit, 0)) + 1
	s.slots[h%servedSlots].Store(h>>32<<32 | units&(1<<32-1))
}

// last returns when the part was last answered, false if that is not remembered.
func (s *servedTable) last(p Part, now time.Time) (time.Time, bool) {
	h := hash(p)
	slot := s.slots[h%servedSlots].Load()
	if slot == 0 || slot>>32 != h>>32 {
		return time.Time{}, false
	}
	at := s.epoch.Add(time.Duration(slot&(1<<32-1)-1) * servedUnit)
	return at, !at.After(now)
}
