package fetch

import (
	"testing"
	"time"
)

// Guards against fetching when computing is faster, and the reverse, for combinations of link, queue and cached blocks.
func TestDecide(t *testing.T) {
	const ms = time.Millisecond
	base := Input{Blocks: 20, StoredBlocks: 20, BlockTokens: 1000, PrefillRate: 10000} // 100 ms to compute a block
	for _, tc := range []struct {
		name   string
		modify func(in *Input)
		fetch  int
		ttft   time.Duration
	}{
		{"fast link", func(in *Input) { in.BlockTime = 10 * ms }, 20, 200 * ms},
		{"slow link", func(in *Input) { in.BlockTime = 110 * ms }, 0, 2000 * ms},
		{"slow link behind a queue", func(in *Input) { in.BlockTime = 110 * ms; in.QueueWait = 550 * ms }, 5, 2050 * ms},
		{"long wait on the link", func(in *Input) { in.BlockTime = 10 * ms; in.TransferWait = 3 * time.Second }, 0, 2000 * ms},
		{"wait hidden by the queue", func(in *Input) {
			in.BlockTime = 10 * ms
			in.TransferWait = 3 * time.Second
			in.QueueWait = 3200 * ms
		}, 20, 3200 * ms},
		{"cached part is not fetched", func(in *Input) { in.BlockTime = 10 * ms; in.CachedBlocks = 15 }, 5, 50 * ms},
		{"all cached", func(in *Input) { in.BlockTime = 10 * ms; in.CachedBlocks = 20 }, 0, 0},
		{"nothing stored beyond the cached part", func(in *Input) { in.BlockTime = ms; in.CachedBlocks = 4; in.StoredBlocks = 4 }, 0, 1600 * ms},
		{"tail is computed", func(in *Input) { in.BlockTime = 10 * ms; in.TailTokens = 500; in.StoredBlocks = 10 }, 10, 1150 * ms},
		{"too small a gain", func(in *Input) { in.BlockTime = 99 * ms }, 0, 2000 * ms},
	} {
		in := base
		tc.modify(&in)
		if p := Decide(in); p.FetchBlocks != tc.fetch || p.TimeToFirstToken != tc.ttft {
			t.Errorf("%s: fetch %d blocks, time to first token %v; want %d, %v", tc.name, p.FetchBlocks, p.TimeToFirstToken, tc.fetch, tc.ttft)
		}
	}
}

// Guards against waiting too long for a stalled link: the link stops after each possible number of blocks, and waiting for
// the timeout and then computing must take at most twice as long as computing from the start.
func TestBlockTimeoutAtMostDoublesTime(t *testing.T) {
	in := Input{Blocks: 20, StoredBlocks: 20, BlockTokens: 1000, PrefillRate: 10000, BlockTime: 10 * time.Millisecond}
	recompute := Decide(Input{Blocks: 20, BlockTokens: 1000, PrefillRate: 10000}).TimeToFirstToken
	for stop := range 20 {
		spent := time.Duration(stop)*in.BlockTime + BlockTimeout(in, 20-stop)
		in.CachedBlocks = stop
		if total := spent + in.prefillTime(0); total > 2*recompute {
			t.Errorf("link stalled after %d blocks: %v in total, more than twice %v", stop, total, recompute)
		}
	}
}

// Always gives the next run to the reader that has read less, and checks that runs get short enough towards the end for both
// readers to finish with the same number of blocks, give or take one.
func TestRunsBalanceReaders(t *testing.T) {
	for _, blocks := range []int{1, 2, 9, 40, 120} {
		var read [2]int
		for left, i := blocks, 0; left > 0; i++ {
			n := RunLength(left)
			if n < 1 || n > left || n > maxRunBlocks {
				t.Fatalf("run of %d blocks with %d remaining", n, left)
			}
			behind := 0
			if read[1] < read[0] {
				behind = 1
			}
			read[behind] += n
			left -= n
		}
		if d := read[0] - read[1]; d > 1 || d < -1 {
			t.Errorf("of %d blocks the readers got %v, want a difference of at most one", blocks, read)
		}
	}
}

// Guards against querying a second store for few blocks or when computing is faster, and against timeouts below the time of a
// block.
func TestUseSecondStore(t *testing.T) {
	in := Input{Blocks: 40, StoredBlocks: 40, BlockTokens: 1000, PrefillRate: 8000, BlockTime: 8 * time.Millisecond}
	if !UseSecondStore(in) {
		t.Error("no second store for 40 blocks")
	}
	in.CachedBlocks = 36
	if UseSecondStore(in) {
		t.Error("second store used for 4 blocks")
	}
	in.CachedBlocks, in.BlockTime = 0, time.Second
	if UseSecondStore(in) {
		t.Error("second store used although recomputing is faster")
	}
	if SwitchTimeout(in) <= in.BlockTime || SwitchTimeout(Input{}) < minBlockTimeout {
		t.Error("switch timeout is shorter than a block takes")
	}
}
