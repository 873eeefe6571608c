// Package token estimates token counts without a tokenizer, at four bytes of text per token. The entry, the admission cost
// and the fake engine all use this estimate.
package token

// BytesPerToken is the estimated number of bytes of text per token.
const BytesPerToken = 4

// Estimate returns the estimated number of tokens in a text, rounded up.
func Estimate(text string) int { return (len(text) + BytesPerToken - 1) / BytesPerToken }
