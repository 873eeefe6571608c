package rawhttp

import (
	"fmt"
	"strings"
)

// Broken returns answers that break HTTP, by what is wrong with them. Apart from that each is a whole answer with the status 200, the given
// fields, which are lines with their ends, and the body. No reader may take one for an answer.
func Broken(fields, body string) map[string]string {
	answers := map[string]string{}
	add := func(name, statusLine, broken, framing, sent string) {
		answers[name] = statusLine + "\r\n" + fields + broken + framing + "\r\n" + sent
	}
	const ok = "HTTP/1.1 200 OK"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	if body == "" {
		chunks = "0\r\n\r\n"
	}
	const chunked = "Transfer-Encoding: chunked\r\n"
	for _, status := range []string{"000", "001", "007", "099", "-01", "+20", "+200", "-200", "600", "999", "1000", "20", "2", "", "0x1", "2xx", "200OK", "20\t"} {
		add("status "+status, "HTTP/1.1 "+status+" S", "", length, body)
		add("status "+status+", in chunks", "HTTP/1.1 "+status+" S", "", chunked, chunks)
	}
	for _, status := range []string{"100", "101", "102", "103", "199"} {
		add("only status "+status, "HTTP/1.1 "+status+" S", "", length, body)
	}
	answers["switched protocols, then an answer"] = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" + ok + "\r\n" + fields + length + "\r\n" + body
	for name, reason := range map[string]string{"0x00": "O\x00K", "0x01": "\x01", "bare CR": "O\rK", "0x7f": "\x7f"} {
		add("reason with "+name, "HTTP/1.1 200 "+reason, "", length, body)
	}
	for name, line := range map[string]string{
		"blank inside":           "X Y: 1\r\n",
		"blank at the end":       "X : 1\r\n",
		"tab":                    "X\tY: 1\r\n",
		"tab at the end":         "X\t: 1\r\n",
		"0x00":                   "X\x00Y: 1\r\n",
		"0x01":                   "X\x01: 1\r\n",
		"0x7f":                   "X\x7f: 1\r\n",
		"0x80":                   "X\x80: 1\r\n",
		"bare CR":                "X\rY: 1\r\n",
		"quotes":                 "\"X\": 1\r\n",
		"brackets":               "X[1]: 1\r\n",
		"slash":                  "X/Y: 1\r\n",
		"no name":                ": 1\r\n",
		"blank in a known name":  "Content Type: text/plain\r\n",
		"blank in a folded line": "X Y: 1\r\n Z: 2\r\n",
	} {
		add("name with "+name, ok, line, length, body)
		add("name with "+name+", in chunks", ok, line, chunked, chunks)
		answers["interim name with "+name] = "HTTP/1.1 103 Hints\r\n" + line + "\r\n" + ok + "\r\n" + fields + length + "\r\n" + body
		answers["trailer with "+name] = ok + "\r\n" + fields + chunked + "\r\n" + strings.TrimSuffix(chunks, "\r\n") + line + "\r\n"
	}
	for name, line := range map[string]string{"0x00": "X: a\x00b\r\n", "0x01": "X: \x01\r\n", "bare CR": "X: a\rb\r\n", "0x7f": "X: \x7f\r\n"} {
		add("value with "+name, ok, line, length, body)
	}
	add("line without a colon", ok, "X\r\n", length, body)
	answers["folded line before all others"] = ok + "\r\n X: 1\r\n" + fields + length + "\r\n" + body
	// What these say of the body's length does not count for net/http.
	add("length with a blank", ok, fmt.Sprintf("Content-Length : %d\r\n", max(len(body)-2, 1)), "", body)
	add("length with a blank inside", ok, fmt.Sprintf("Content Length: %d\r\n", max(len(body)-2, 1)), "", body)
	add("length with a blank beside another one", ok, "Content-Length : 1\r\n", length, body)
	add("chunks with a blank", ok, "Transfer-Encoding : chunked\r\n", "", chunks)
	add("chunks with a blank beside a length", ok, "Transfer-Encoding : chunked\r\n", fmt.Sprintf("Content-Length: %d\r\n", len(chunks)), chunks)
	for _, version := range []string{"HTTP/2.0", "HTTP/2", "HTTP/0.9", "HTTP/3.0", "HTTP/1", "HTTP/1.", "HTTP/1.1.1", "HTTP/11.1", "http/1.1", "HTTPS/1.1", "HTTP/1,1", "HTTP/-1.1", "ICY", ""} {
		add("version "+version, version+" 200 OK", "", length, body)
		add("version "+version+", in chunks", version+" 200 OK", "", chunked, chunks)
		add("version "+version+", without a length", version+" 200 OK", "", "", body)
	}
	answers["no status line"] = fields + length + "\r\n" + body
	answers["only a body"] = body
	// HTTP/1.0 has no chunks: what the sender means is unknown.
	add("chunks of HTTP/1.0", "HTTP/1.0 200 OK", "", chunked, chunks)
	add("chunks of HTTP/1.0 with a length", "HTTP/1.0 200 OK", chunked, fmt.Sprintf("Content-Length: %d\r\n", len(chunks)), chunks)
	add("chunks of HTTP/1.0 in a folded line", "HTTP/1.0 200 OK", "", "Transfer-Encoding:\r\n chunked\r\n", chunks)
	add("another encoding", ok, "", "Transfer-Encoding: gzip\r\n", body)
	add("another encoding, then chunks", ok, "", "Transfer-Encoding: gzip, chunked\r\n", chunks)
	add("chunks twice", ok, chunked, chunked, chunks)
	add("two lengths", ok, "Content-Length: 1\r\n", length, body)
	for _, value := range []string{"", "+1", "-1", "0x1", "1,1", "1, 2", "1 1", "one", "99999999999999999999"} {
		add("length "+value, ok, "", "Content-Length: "+value+"\r\n", body)
	}
	return answers
}

// Sound returns answers that a reader must accept, like those of Broken.
func Sound(fields, body string) map[string]string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	rest := fields + length + "\r\n" + body
	chunked := fields + "Transfer-Encoding: chunked\r\n"
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
	if body == "" {
		chunks = "0\r\n"
	}
	return map[string]string{
		"with a length":          "HTTP/1.1 200 OK\r\n" + rest,
		"in chunks":              "HTTP/1.1 200 OK\r\n" + chunked + "\r\n" + chunks + "\r\n",
		"HTTP/1.0":               "HTTP/1.0 200 OK\r\n" + rest,
		"without a reason":       "HTTP/1.1 200 \r\n" + rest,
		"reason in other bytes":  "HTTP/1.1 200 \xe9t\xe9 \t ok\r\n" + rest,
		"status line ends early": "HTTP/1.1 200\r\n" + rest,
		"after an interim one":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: </x>\r\nX-Y: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"line feeds only":        strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+fields+length+"\r\n", "\r\n", "\n") + body,
		"folded line":            "HTTP/1.1 200 OK\r\nX-Folded: a\r\n b c: d\r\n\te\r\n" + rest,
		"folded length":          "HTTP/1.1 200 OK\r\n" + fields + fmt.Sprintf("Content-Length:\r\n %d\r\n\r\n", len(body)) + body,
		"folded encoding":        "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding:\r\n\tchunked\r\n\r\n" + chunks + "\r\n",
		"odd name":               "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09aZ: 1\r\n" + rest,
		"empty value":            "HTTP/1.1 200 OK\r\nX:\r\nY: \t\r\n" + rest,
		"other bytes in a value": "HTTP/1.1 200 OK\r\nX: \xe9t\xe9\r\n" + rest,
		"with a trailer":         "HTTP/1.1 200 OK\r\n" + chunked + "Trailer: X-Sum\r\n\r\n" + chunks + "X-Sum: 1\r\n\r\n",
		"same length twice":      "HTTP/1.1 200 OK\r\n" + length + rest,
		"later minor version":    "HTTP/1.2 200 OK\r\n" + rest,
		"length beside chunks":   "HTTP/1.1 200 OK\r\n" + length + chunked + "\r\n" + chunks + "\r\n", // chunks override it
	}
}
