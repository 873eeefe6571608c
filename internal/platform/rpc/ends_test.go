package rpc

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"google.golang.org/protobuf/proto"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/fake/rawhttp"
	"github.com/egrethoist/egrethoist/internal/platform"
)

// A list of instances that is cut must not be taken for the whole list: the instances behind the cut would look gone. The wire format has no
// length of its own, so a cut between two entries leaves a valid message.
func TestCutListFails(t *testing.T) {
	message := func(names ...string) string {
		list := &egretv1.ListResponse{}
		for _, name := range names {
			list.Instances = append(list.Instances, &egretv1.PlatformInstance{Name: name})
		}
		raw, err := proto.Marshal(list)
		if err != nil {
			t.Fatal(err)
		}
		return string(raw)
	}
	whole, cut := message("a", "b"), message("a")
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n"
	for name, c := range map[string]struct {
		answer   string
		complete bool
	}{
		"with its length":             {head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(whole), whole), true},
		"shorter than its length":     {head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(whole), cut), false},
		"cut between chunks":          {head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(cut), cut), false},
		"closed between two entries":  {head + "\r\n" + cut, false},
		"closed before the first one": {head + "\r\n", false},
		"no content":                  {"HTTP/1.1 204 S\r\nContent-Type: application/proto\r\n\r\n", false},
		"partial content":             {fmt.Sprintf("HTTP/1.1 206 S\r\nContent-Type: application/proto\r\nContent-Length: %d\r\n\r\n%s", len(cut), cut), false},
		"page":                        {"HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 2\r\n\r\nhi", false},
	} {
		client := NewClient(&http.Client{Transport: &http.Transport{}}, "http://"+rawhttp.Serve(t, rawhttp.Always(c.answer)))
		list, _, err := client.List(t.Context())
		if (err == nil) != c.complete {
			t.Errorf("%s: %d instances, %v", name, len(list), err)
		}
	}
}

// An answer of the platform that breaks HTTP must not be taken for one, and leaves the outcome of a write unknown.
func TestBrokenAnswersFail(t *testing.T) {
	const fields = "Content-Type: application/proto\r\n"
	raw, err := proto.Marshal(&egretv1.CompareAndSwapResponse{Swapped: true, Version: 7})
	if err != nil {
		t.Fatal(err)
	}
	for name, answer := range rawhttp.Broken(fields, string(raw)) {
		client := NewPlainClient(rawhttp.Serve(t, rawhttp.Always(answer)))
		if _, err := client.CompareAndSwap(t.Context(), "k", 0, []byte("v"), 0); !errors.Is(err, platform.ErrOutcomeUnknown) {
			t.Errorf("%s: %v, want %v", name, err, platform.ErrOutcomeUnknown)
		}
		if list, _, err := client.List(t.Context()); err == nil {
			t.Errorf("%s: a list of %d instances", name, len(list))
		}
	}
	for name, answer := range rawhttp.Sound(fields, string(raw)) {
		client := NewPlainClient(rawhttp.Serve(t, rawhttp.Always(answer)))
		if version, err := client.CompareAndSwap(t.Context(), "k", 0, []byte("v"), 0); err != nil || version != 7 {
			t.Errorf("%s: version %d, %v", name, version, err)
		}
	}
}
