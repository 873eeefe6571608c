package transfertime

import (
	"testing"
	"time"
)

func TestTransferTime(t *testing.T) {
	here := Place{Domain: "a", Region: "r"}
	link := Link{Place: here, BytesPerSecond: 4e9}
	const prompt = 160_000_000 // a long prompt's keys and values
	for _, c := range []struct {
		name string
		link Link
		to   Place
		want time.Duration
	}{
		{"same domain", link, here, 40 * time.Millisecond},
		{"other domain", link, Place{Domain: "b", Region: "r"}, 80 * time.Millisecond},
		{"other region", link, Place{Domain: "c", Region: "s"}, 400 * time.Millisecond},
		{"unknown link", Link{Place: here}, here, 0},
	} {
		if got := c.link.Of(prompt, c.to); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Pattern: a store's link is the bottleneck late on a heavy day. Long prompts that go to targets beside the store and short
// ones that go elsewhere take less of the link than the other way round.
func TestLongPromptsBesideTheStoreSpareItsLink(t *testing.T) {
	here, there := Place{Domain: "a", Region: "r"}, Place{Domain: "b", Region: "r"}
	link := Link{Place: here, BytesPerSecond: 4e9}
	const long, short = 160_000_000, 28_000_000
	aware := link.Of(long, here) + link.Of(short, there)
	blind := link.Of(long, there) + link.Of(short, here)
	if aware >= blind {
		t.Errorf("link busy for %v with long prompts beside the store, %v with short ones", aware, blind)
	}
}
