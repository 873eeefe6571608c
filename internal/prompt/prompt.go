// Package prompt renders the body of a model call as the text whose prefixes identify cached blocks. If two texts have a
// common prefix, the engine's input is the same up to that point: the text contains every member of the body that may
// change what the engine computes, and bodies of different meaning never render to the same text. The entry and the fake
// engine both use this package, so that they derive the same block IDs.
package prompt

import (
	"fmt"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// Call is the part of a model call's body that routing needs.
type Call struct {
	Model     string
	MaxTokens int // maximum number of output tokens; zero if the body sets none
	Stream    bool
	Empty     bool   // the body has neither a prompt nor messages
	Text      string // rendered prompt
}

// body is the JSON body of a model call. A duplicate member is an error, because parsers differ in which one they use.
type body struct {
	Model               string                    `json:"model"`
	Prompt              jsontext.Value            `json:"prompt"`
	Messages            []message                 `json:"messages"`
	MaxTokens           int                       `json:"max_tokens"`
	MaxCompletionTokens int                       `json:"max_completion_tokens"`
	Stream              bool                      `json:"stream"`
	Others              map[string]jsontext.Value `json:",embed"`
}

type message struct {
	Content jsontext.Value            `json:"content"`
	Others  map[string]jsontext.Value `json:",embed"`
}

// ignoredMembers lists the members that affect how tokens are sampled or delivered, but not the KV cache of the prompt. All
// other members are part of the text: an unknown one can only prevent a cache hit, never cause a wrong one.
var ignoredMembers = []string{
	"stream_options", "temperature", "top_p", "top_k", "min_p", "seed", "stop", "n", "best_of", "user", "metadata",
	"store", "logprobs", "top_logprobs", "logit_bias", "presence_penalty", "frequency_penalty", "repetition_penalty",
	"service_tier", "priority", "cache_salt", "weight_version", "resume_from",
}

// Parse parses a body and renders its prompt. It returns an error if the body is not valid JSON, has duplicate members or a
// member of the wrong type.
func Parse(data []byte) (*Call, error) {
	var b body
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, err
	}
	c := &Call{
		Model:     b.Model,
		MaxTokens: b.MaxTokens,
		Stream:    b.Stream,
		Empty:     len(b.Messages) == 0 && isAbsent(b.Prompt),
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = b.MaxCompletionTokens
	}
	for _, name := range ignoredMembers {
		delete(b.Others, name)
	}
	text, err := b.render()
	c.Text = text
	return c, err
}

// isAbsent reports whether a member is missing or null.
func isAbsent(v jsontext.Value) bool { return len(v) == 0 || v.Kind() == 'n' }

// structuredPrefix starts every text that is not a plain prompt. A plain prompt that starts with it gets it once more, so
// that it differs from structured texts.
const structuredPrefix = "\x00"

// render returns a plain prompt without other members as it is, and otherwise the other members and the prompt or messages,
// one per line.
func (b *body) render() (string, error) {
	deleteNulls(b.Others)
	if len(b.Messages) == 0 && b.Prompt.Kind() == '"' && len(b.Others) == 0 {
		return plainText(b.Prompt)
	}
	var w strings.Builder
	w.WriteString(structuredPrefix)
	w.WriteByte('\n')
	if err := writeMembers(&w, b.Others); err != nil {
		return "", err
	}
	w.WriteByte('\n')
	if len(b.Messages) == 0 {
		err := writeContent(&w, b.Prompt)
		return w.String(), err
	}
	for i := range b.Messages {
		if err := b.Messages[i].write(&w); err != nil {
			return "", fmt.Errorf("messages[%d]: %w", i, err)
		}
	}
	return w.String(), nil
}

// plainText returns the text of a plain prompt, escaped if it starts with structuredPrefix.
func plainText(v jsontext.Value) (string, error) {
	data, err := jsontext.AppendUnquote(nil, v)
	if err != nil {
		return "", err
	}
	text := string(data)
	if strings.HasPrefix(text, structuredPrefix) {
		return structuredPrefix + text, nil
	}
	return text, nil
}

// write writes a message as one line: all other members first and the content last, so that a message whose content extends
// another's has that one's text as a prefix.
func (m *message) write(w *strings.Builder) error {
	deleteNulls(m.Others)
	if err := writeMembers(w, m.Others); err != nil {
		return err
	}
	if err := writeContent(w, m.Content); err != nil {
		return err
	}
	w.WriteByte('\n')
	return nil
}

// deleteNulls removes members that are null, which are equivalent to missing ones.
func deleteNulls(members map[string]jsontext.Value) {
	for name, v := range members {
		if isAbsent(v) {
			delete(members, name)
		}
	}
}

// escaper escapes line breaks, so that a text stays on one line.
var escaper = strings.NewReplacer(`\`, `\\`, "\n", `\n`)

// writeContent writes a string after a quote, which no other JSON value starts with, and any other value as JSON. There is
// no closing quote, so that a longer string shares the prefix.
func writeContent(w *strings.Builder, v jsontext.Value) error {
	if isAbsent(v) {
		return nil
	}
	if v.Kind() != '"' {
		return writeValue(w, v)
	}
	text, err := jsontext.AppendUnquote(nil, v)
	if err != nil {
		return err
	}
	w.WriteByte('"')
	_, err = escaper.WriteString(w, string(text))
	return err
}

// writeMembers writes members as a canonical JSON object.
func writeMembers(w *strings.Builder, members map[string]jsontext.Value) error {
	data, err := json.Marshal(members, json.Deterministic(true))
	if err != nil {
		return err
	}
	return writeValue(w, data)
}

// writeValue writes a value in canonical form, so that equivalent values render equally: sorted members, no white space and
// minimal escapes. Numbers are not normalized.
func writeValue(w *strings.Builder, v jsontext.Value) error {
	v = v.Clone()
	if err := v.Format(jsontext.CanonicalizeRawInts(false), jsontext.CanonicalizeRawFloats(false), jsontext.ReorderRawObjects(true), jsontext.PreserveRawStrings(false)); err != nil {
		return err
	}
	w.Write(v)
	return nil
}
