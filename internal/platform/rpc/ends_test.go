package rpc

import (
	"fmt"
	"net/http"
	"testing"

	"google.golang.org/protobuf/proto"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/fake/rawhttp"
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
