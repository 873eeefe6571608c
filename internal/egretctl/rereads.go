package egretctl

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/egrethoist/egrethoist/internal/rereads"
)

// longestLine bounds the lines of a log, in bytes.
const longestLine = 1 << 20

// rereads tells why shared parts of prompts were read, from the logs of gateways.
func (c *command) rereads(context.Context) error {
	var reads []rereads.Prefill
	for _, name := range c.logs {
		f, err := os.Open(name)
		if err != nil {
			return trace.Wrap(err)
		}
		list, err := readRequests(f)
		_ = f.Close() // only read
		if err != nil {
			return trace.Wrap(err, "read %s", name)
		}
		reads = append(reads, list...)
	}
	if len(reads) == 0 {
		return trace.NotFound("no request with a shared part in %d files", len(c.logs))
	}
	rows := rereads.Summarize(reads)
	if c.output == "json" {
		return trace.Wrap(json.NewEncoder(c.env.Stdout).Encode(rows))
	}
	fmt.Fprintf(c.env.Stdout, "%9s %6s %13s %9s %9s  %s\n", "requests", "share", "tokens read", "first p50", "p90", "cause")
	for _, r := range rows {
		fmt.Fprintf(c.env.Stdout, "%9d %6.3f %13d %9v %9v  %v\n", r.Requests, float64(r.Requests)/float64(len(reads)), r.Tokens,
			r.P50.Round(time.Millisecond), r.P90.Round(time.Millisecond), r.Cause)
	}
	return nil
}

func readRequests(r io.Reader) ([]rereads.Prefill, error) {
	var out []rereads.Prefill
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		if read, ok := rereads.Parse(lines.Bytes()); ok {
			out = append(out, read)
		}
	}
	return out, lines.Err()
}
