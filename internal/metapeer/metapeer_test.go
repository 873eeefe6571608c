package metapeer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/fake/rawhttp"
)

// A copy of the metadata or a list of changes that is not complete must not be taken for one, nor the answer of another program that now has
// the address of an instance: state that is empty would be installed, or stale state be confirmed as of now.
func TestIncompleteAnswerOfInstanceFails(t *testing.T) {
	for name, call := range map[string]struct {
		body string
		get  func(address string) error
	}{
		"copy": {
			`{"AsOf":7,"Age":1000000,"Items":[{"Key":"k","Value":"eA==","Revision":5,"Created":5,"Lease":0}]}`,
			func(address string) error {
				_, err := NewClient(ClientOptions{}).Copy(context.Background(), address, 3)
				return err
			},
		},
		"changes": {
			`{"AsOf":7,"Age":1000000,"Held":2000000,"Whole":false,"Changes":[{"Key":"k","Value":null,"Revision":5,"Created":0,"Lease":0,"Deleted":true}]}`,
			func(address string) error {
				_, err := NewClient(ClientOptions{}).Changes(context.Background(), address, 3, 100*time.Millisecond)
				return err
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			full := fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(call.body), call.body)
			if err := call.get(rawhttp.Serve(t, rawhttp.Always(full))); err != nil {
				t.Fatalf("complete answer: %v", err)
			}
			half := call.body[:len(call.body)/2]
			for fault, raw := range map[string]string{
				"shorter than its length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(call.body)+1, call.body),
				"cut between chunks":      fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(call.body), call.body),
				"cut inside a chunk":      fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", len(call.body), half),
				"closed inside":           "HTTP/1.1 200 OK\r\n\r\n" + half,
				"closed before":           "HTTP/1.1 200 OK\r\n\r\n",
				"no content":              "HTTP/1.1 204 S\r\n\r\n",
				"partial content":         fmt.Sprintf("HTTP/1.1 206 S\r\nContent-Length: %d\r\n\r\n%s", len(call.body), call.body),
				"redirect":                "HTTP/1.1 302 S\r\nLocation: http://" + rawhttp.Serve(t, rawhttp.Always(full)) + "/\r\nContent-Length: 0\r\n\r\n",
				"null":                    "HTTP/1.1 200 OK\r\n\r\nnull",
				"empty object":            "HTTP/1.1 200 OK\r\n\r\n{}",
				"another object":          "HTTP/1.1 200 OK\r\n\r\n{\"status\":\"ok\"}",
				"without age":             "HTTP/1.1 200 OK\r\n\r\n{\"AsOf\":7,\"Held\":1,\"Whole\":false,\"Items\":[],\"Changes\":[]}",
				"page":                    "HTTP/1.1 200 OK\r\n\r\n<html></html>",
				"two values":              "HTTP/1.1 200 OK\r\n\r\n" + call.body + call.body,
				"trailing bytes":          "HTTP/1.1 200 OK\r\n\r\n" + call.body + "]",
			} {
				if err := call.get(rawhttp.Serve(t, rawhttp.Always(raw))); err == nil {
					t.Errorf("%s: taken for an answer", fault)
				}
			}
			for fault, raw := range rawhttp.Broken("Content-Type: application/json\r\n", call.body) {
				if err := call.get(rawhttp.Serve(t, rawhttp.Always(raw))); err == nil {
					t.Errorf("%s: taken for an answer", fault)
				}
			}
			for name, raw := range rawhttp.Sound("Content-Type: application/json\r\n", call.body) {
				if err := call.get(rawhttp.Serve(t, rawhttp.Always(raw))); err != nil {
					t.Errorf("%s: %v", name, err)
				}
			}
		})
	}
}
