package faultmatrix

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/egrethoist/egrethoist/internal/engine/wire"
	"github.com/egrethoist/egrethoist/internal/entry"
	"github.com/egrethoist/egrethoist/internal/fake/plain"
	"github.com/egrethoist/egrethoist/internal/httpclient"
)

// Bounds of a caller.
const (
	callTimeout = 8 * time.Second // told to the entry with each try
	// answerSlack is how much later than its deadline a caller may have its answer.
	answerSlack = 1 * time.Second
	giveUpAfter = callTimeout + 2*answerSlack // of one try
	maxTries    = 4
	tryPause    = 500 * time.Millisecond
)

// dialError says that no connection to the entry could be made.
const dialError = "no connection"

// send makes the tries of a call until one answer is whole, or none can be had truthfully.
func (b *bed) send(ctx context.Context, call *Call, entryIndex int, tries int) {
	for i := range tries {
		if i > 0 {
			time.Sleep(tryPause)
		}
		try := b.try(ctx, call, i, (entryIndex+i)%len(b.Entries))
		b.mu.Lock()
		call.Tries = append(call.Tries, try)
		b.mu.Unlock()
		if try.Whole || !mayRepeat(call.Kind, &try) {
			return
		}
	}
}

// mayRepeat tells what a careful caller repeats: without a key, a booking only if it surely did not run.
func mayRepeat(k Kind, try *Try) bool {
	return k != KindUnkeyed || try.Outcome == string(entry.OutcomeNotRun) || try.Err == dialError
}

// try sends one HTTP request on a connection of its own.
func (b *bed) try(ctx context.Context, call *Call, n, entryIndex int) Try {
	ctx, cancel := context.WithTimeout(ctx, giveUpAfter)
	defer cancel()
	t := Try{RequestID: call.Name + "-" + strconv.Itoa(n+1), Entry: entryIndex, Sent: time.Now()}
	transport := httpclient.New(&http.Transport{DialContext: b.hosts.Network.Dialer(b.hosts.ip(caller)), DisableKeepAlives: true})
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(b.request(ctx, call, &t))
	if err == nil {
		t.Status = resp.StatusCode
		t.Outcome = resp.Header.Get(entry.HeaderOutcome)
		t.Replayed = resp.Header.Get(entry.HeaderReplayed) != ""
		err = t.read(call, resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		t.Err = describe(err)
	}
	t.Done = time.Now()
	t.Silenced = b.silencedSince(t.Sent, entryIndex)
	return t
}

func describe(err error) string {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return dialError
	}
	return err.Error()
}

func (b *bed) request(ctx context.Context, call *Call, t *Try) *http.Request {
	method, path, body := target(call)
	req, err := http.NewRequestWithContext(ctx, method, b.Entries[t.Entry].URL+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // every part is a constant of this package
	}
	req.Header.Set("Authorization", "Bearer "+apiKey(call.Workspace))
	req.Header.Set(entry.HeaderRequestID, t.RequestID)
	req.Header.Set(entry.HeaderTimeout, strconv.FormatInt(callTimeout.Milliseconds(), 10))
	if call.Key != "" {
		req.Header.Set(entry.HeaderIdempotencyKey, call.Key)
	}
	return req
}

// target returns the method, path and body of a call.
func target(call *Call) (string, string, []byte) {
	services := "/v1/services/" + plainService
	switch call.Kind {
	case KindStream:
		return http.MethodPost, wire.PathCompletions, wire.Encode(wire.CompletionRequest{
			Model: modelService, Prompt: call.Prompt, MaxTokens: call.Tokens, Stream: true,
		})
	case KindLookup:
		return http.MethodGet, services + "/slots/gate-7", nil
	default:
		body, _ := json.Marshal(plain.Booking{ID: call.Booking, Slot: "gate-7"})
		return http.MethodPost, services + "/bookings", body
	}
}

// read takes the body of an answer.
func (t *Try) read(call *Call, body io.Reader) error {
	if call.Kind == KindStream && t.Status == http.StatusOK {
		return t.readStream(body)
	}
	var text bytes.Buffer
	buf := make([]byte, 4096)
	for {
		n, err := body.Read(buf)
		if n > 0 && t.First.IsZero() {
			t.First = time.Now()
		}
		text.Write(buf[:n])
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	t.Text = text.String()
	t.Whole = t.Status == http.StatusOK
	return nil
}

// streamEvent is what a caller reads of an event: a piece of text, or the error that ends the stream.
type streamEvent struct {
	Choices []wire.Choice `json:"choices"`
	Error   *struct {
		Outcome string `json:"outcome"`
		Message string `json:"message"`
	} `json:"error"`
}

func (t *Try) readStream(body io.Reader) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == wire.StreamDone {
			t.Whole = true
			continue
		}
		var e streamEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return fmt.Errorf("event %q: %w", data, err)
		}
		if e.Error != nil {
			t.Outcome = e.Error.Outcome
			continue
		}
		if t.First.IsZero() {
			t.First = time.Now()
		}
		if len(e.Choices) > 0 {
			t.Text += e.Choices[0].Text
		}
	}
	return lines.Err()
}
