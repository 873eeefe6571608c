package streampin

import (
	"encoding/json"
	"errors"
)

const (
	// messageByte is the first byte of an encoded message. It differs from that of all other datagrams between instances.
	messageByte = 'S'
	// MaxStreamID bounds, in bytes, the ID of a stream.
	MaxStreamID = 128
	maxName     = 256
)

// Message asks another instance about a stream or about its metadata, or answers. One of the pointers is set.
type Message struct {
	Nonce   uint64   `json:"n"`
	Query   *Query   `json:"q,omitempty"`
	Reply   *Reply   `json:"r,omitempty"`
	Await   *Await   `json:"a,omitempty"`
	Reached *Reached `json:"d,omitempty"`
}

// Await asks for an answer if the instance has the metadata of a revision.
type Await struct {
	Revision uint64 `json:"r"`
}

// Reached says that the instance has the metadata that was asked for.
type Reached struct {
	Instance string `json:"i"`
}

// Query asks which version began a stream.
type Query struct {
	ID      string `json:"i"`
	Service string `json:"s"` // of the request that resumes the stream
	// ReadStore asks the instance to read the metadata store if it does not remember the stream.
	ReadStore bool `json:"d,omitempty"`
}

// Reply answers a Query. Known is false if the instance does not know the version either.
type Reply struct {
	Known   bool    `json:"k"`
	Version Version `json:"v"`
}

var errMalformed = errors.New("malformed message about a stream")

// IsMessage reports whether a datagram is a message of this package.
func IsMessage(b []byte) bool { return len(b) > 0 && b[0] == messageByte }

// Encode returns the encoded message.
func (m *Message) Encode() ([]byte, error) {
	raw, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	return append([]byte{messageByte}, raw...), nil
}

// Parse decodes a message. It returns an error if it is malformed.
func Parse(b []byte) (*Message, error) {
	if !IsMessage(b) {
		return nil, errMalformed
	}
	m := new(Message)
	if err := json.Unmarshal(b[1:], m); err != nil {
		return nil, errors.Join(errMalformed, err)
	}
	set := 0
	for _, present := range []bool{m.Query != nil, m.Reply != nil, m.Await != nil, m.Reached != nil} {
		if present {
			set++
		}
	}
	switch {
	case set != 1:
		return nil, errMalformed
	case m.Query != nil && (!ValidID(m.Query.ID) || len(m.Query.Service) > maxName):
		return nil, errMalformed
	case m.Reply != nil && m.Reply.Known && (m.Reply.Version.Service == "" || m.Reply.Version.Software == ""):
		return nil, errMalformed
	}
	return m, nil
}

// ValidID reports whether a caller's text can be the ID of a stream.
func ValidID(id string) bool {
	if id == "" || len(id) > MaxStreamID {
		return false
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}
