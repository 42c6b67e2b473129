// Package zfwire encodes the messages between instances: an authenticated
// datagram of CBOR. The first bytes are a CBOR array of the header and the
// message, the last ones the truncated HMAC-SHA256 of all before.
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
	// version is the first field of every datagram.
	version = 1
	// macBytes is the length of the truncated authentication code.
	macBytes = 16
	// MaxDatagramBytes bounds a datagram.
	MaxDatagramBytes = 60 << 10
	// windowBits is how far sequences may arrive out of order.
	windowBits = 64
	// maxSenders bounds the replay state.
	maxSenders = 4096
)

// Config holds what a codec is built from.
type Config struct {
	// Key authenticates the datagrams; all instances share it.
	Key []byte
	// Self is the name that received datagrams have to be for.
	Self zf.InstanceName
}

// Codec implements zinniafront.Codec with CBOR. It is safe for concurrent use.
type Codec struct {
	config       Config
	encode       cbor.EncMode
	decode       cbor.DecMode
	mutex        sync.Mutex
	lastSequence uint64
	senders      map[zf.InstanceName]*replayWindow
}

// replayWindow holds which sequences of a sender came in.
type replayWindow struct {
	incarnation uint64
	highest     uint64
	received    uint64
}

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
		return nil, errors.Wrap(err, "make encoder")
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
		return nil, errors.Wrap(err, "make decoder")
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
	body, err := c.encode.Marshal(toWire(envelope.Message))
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

// Seal adds the authentication code to a body.
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
		return refuse(zf.ReasonBadEncoding, errors.Errorf("version %d", f.Version))
	}
	if f.To != "" && f.To != string(c.config.Self) {
		return refuse(zf.ReasonWrongReceiver, nil)
	}
	message, err := c.fromWire(zf.MessageKind(f.Kind), f.Body)
	if err != nil {
		return refuse(zf.ReasonBadEncoding, err)
	}
	if !c.accept(f) {
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

// accept notes a sequence and reports whether it came in for the first time.
func (c *Codec) accept(f frame) bool {
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
	return w.accept(f.Sequence)
}

func (w *replayWindow) accept(sequence uint64) bool {
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
