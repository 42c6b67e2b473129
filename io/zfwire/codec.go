// Package zfwire encodes the messages between instances of the entry role as authenticated
// datagrams. A datagram is a CBOR array of the header and the message,
// followed by the truncated HMAC-SHA256 of that array.
package zfwire

import (
	"crypto/hmac"
	"crypto/sha256"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	zf "zinniafront"
)

const (
	// version is the format version, the first field of every datagram.
	version = 1
	// macBytes is the length of the truncated HMAC.
	macBytes = 16
	// MaxDatagramBytes is the size of the largest datagram that is decoded.
	MaxDatagramBytes = 60 << 10
	// windowBits is the size of a replay window. A datagram whose sequence is this
	// far or farther behind the highest one of its sender is refused.
	windowBits = 64
	// maxSenders bounds the number of replay windows.
	maxSenders = 4096
)

// Config configures a Codec.
type Config struct {
	// Key is the HMAC key that all instances of the entry role share.
	Key []byte
	// Self is this instance's name. Datagrams to other instances are refused.
	Self zf.InstanceName
}

// Codec implements zinniafront.Codec. It is safe for concurrent use.
type Codec struct {
	config       Config
	encode       cbor.EncMode
	decode       cbor.DecMode
	mutex        sync.Mutex
	lastSequence uint64
	senders      map[zf.InstanceName]*replayWindow
}

// replayWindow records which sequences of a sender's incarnation were received.
// Bit i of received stands for the sequence highest-i.
type replayWindow struct {
	incarnation uint64
	highest     uint64
	received    uint64
}

// frame is the header and the message of a datagram. Like all structs of this package
// with toarray, it is encoded as an array: the order of its fields is the wire format.
type frame struct {
	_           struct{} `cbor:",toarray"`
	Version     uint8
	From        string
	Incarnation uint64
	Sequence    uint64
	To          string
	Kind        uint8
	Body        cbor.RawMessage
}

// New returns a codec.
func New(config Config) (*Codec, error) {
	encode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, errors.Wrap(err, "create CBOR encoder")
	}
	decode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements:  1 << 17,
		MaxNestedLevels:   8,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		return nil, errors.Wrap(err, "create CBOR decoder")
	}
	return &Codec{
		config:  config,
		encode:  encode,
		decode:  decode,
		senders: make(map[zf.InstanceName]*replayWindow),
	}, nil
}

// Encode implements zinniafront.Codec.
func (c *Codec) Encode(envelope zf.Envelope) ([]byte, error) {
	body, err := c.encode.Marshal(messageToWire(envelope.Message))
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	c.mutex.Lock()
	c.lastSequence++
	sequence := c.lastSequence
	c.mutex.Unlock()
	datagram, err := c.encode.Marshal(frame{
		Version:     version,
		From:        string(envelope.From),
		Incarnation: envelope.Incarnation,
		Sequence:    sequence,
		To:          string(envelope.To),
		Kind:        uint8(envelope.Message.Kind()),
		Body:        body,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	return c.Seal(datagram), nil
}

// Seal appends the truncated HMAC to an encoded frame.
func (c *Codec) Seal(body []byte) []byte {
	return append(body[:len(body):len(body)], c.mac(body)...)
}

func (c *Codec) mac(data []byte) []byte {
	h := hmac.New(sha256.New, c.config.Key)
	h.Write(data)
	return h.Sum(nil)[:macBytes]
}

func refuse(reason zf.Reason, cause error) (zf.Envelope, error) {
	return zf.Envelope{}, &zf.WireError{
		Reason: reason,
		Cause:  cause,
	}
}

// Decode implements zinniafront.Codec.
func (c *Codec) Decode(datagram []byte) (zf.Envelope, error) {
	if len(datagram) > MaxDatagramBytes {
		return refuse(zf.ReasonTooLarge, nil)
	}
	if len(datagram) <= macBytes {
		return refuse(zf.ReasonBadEncoding, nil)
	}
	data, mac := datagram[:len(datagram)-macBytes], datagram[len(datagram)-macBytes:]
	if !hmac.Equal(mac, c.mac(data)) {
		return refuse(zf.ReasonBadSignature, nil)
	}
	var f frame
	if err := c.decode.Unmarshal(data, &f); err != nil {
		return refuse(zf.ReasonBadEncoding, err)
	}
	if f.Version != version {
		return refuse(zf.ReasonBadEncoding, errors.Errorf("unsupported format version %d", f.Version))
	}
	if f.To != "" && f.To != string(c.config.Self) {
		return refuse(zf.ReasonWrongReceiver, nil)
	}
	message, err := c.decodeMessage(zf.MessageKind(f.Kind), f.Body)
	if err != nil {
		return refuse(zf.ReasonBadEncoding, err)
	}
	if !c.acceptFrame(f) {
		return refuse(zf.ReasonReplay, nil)
	}
	return zf.Envelope{
		From:        zf.InstanceName(f.From),
		Incarnation: f.Incarnation,
		Sequence:    f.Sequence,
		To:          zf.InstanceName(f.To),
		Message:     message,
	}, nil
}

// acceptFrame records a frame's sequence and reports whether the frame is fresh. It
// refuses replays, sequences behind the window, older incarnations, and new senders
// beyond maxSenders; Decode reports all of them as ReasonReplay.
func (c *Codec) acceptFrame(f frame) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	w, ok := c.senders[zf.InstanceName(f.From)]
	if !ok {
		if len(c.senders) >= maxSenders {
			return false
		}
		w = &replayWindow{}
		c.senders[zf.InstanceName(f.From)] = w
	}
	switch {
	case f.Incarnation < w.incarnation || f.Sequence == 0:
		return false
	case f.Incarnation > w.incarnation:
		*w = replayWindow{
			incarnation: f.Incarnation,
		}
	}
	return w.acceptSequence(f.Sequence)
}

// acceptSequence records a sequence and reports whether it is neither a repetition nor
// behind the window.
func (w *replayWindow) acceptSequence(sequence uint64) bool {
	if sequence > w.highest {
		if shift := sequence - w.highest; shift < windowBits {
			w.received = w.received<<shift | 1
		} else {
			w.received = 1
		}
		w.highest = sequence
		return true
	}
	age := w.highest - sequence
	if age >= windowBits || w.received&(1<<age) != 0 {
		return false
	}
	w.received |= 1 << age
	return true
}
