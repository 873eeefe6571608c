package transfertime

import (
	"testing"
	"time"
)

// Guards against wrong factors for transfers between failure domains and regions.
func TestTransferTime(t *testing.T) {
	storeLocation := Location{Domain: "a", Region: "r"}
	link := Link{Location: storeLocation, BytesPerSecond: 4e9}
	const promptBytes = 160_000_000 // KV cache size of a long prompt
	for _, c := range []struct {
		name string
		link Link
		to   Location
		want time.Duration
	}{
		{"same domain", link, storeLocation, 40 * time.Millisecond},
		{"other domain", link, Location{Domain: "b", Region: "r"}, 80 * time.Millisecond},
		{"other region", link, Location{Domain: "c", Region: "s"}, 400 * time.Millisecond},
		{"unknown link", Link{Location: storeLocation}, storeLocation, 0},
	} {
		if got := c.link.TransferTime(promptBytes, c.to); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// The link of a store is the bottleneck under heavy load. Sending long prompts to targets in the store's failure domain and
// short ones to another must use less link time than the reverse.
func TestLongPromptsNearStoreUseLessLink(t *testing.T) {
	storeLocation, remoteLocation := Location{Domain: "a", Region: "r"}, Location{Domain: "b", Region: "r"}
	link := Link{Location: storeLocation, BytesPerSecond: 4e9}
	const longBytes, shortBytes = 160_000_000, 28_000_000
	longPromptsNear := link.TransferTime(longBytes, storeLocation) + link.TransferTime(shortBytes, remoteLocation)
	shortPromptsNear := link.TransferTime(longBytes, remoteLocation) + link.TransferTime(shortBytes, storeLocation)
	if longPromptsNear >= shortPromptsNear {
		t.Errorf("link busy for %v with long prompts in the store's domain, %v with short ones", longPromptsNear, shortPromptsNear)
	}
}
