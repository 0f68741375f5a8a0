// Package mqtt encodes and decodes the control packets of MQTT 5.0 and 3.1.1
// (OASIS standards of 2019 and 2014). Section numbers in comments are those of
// MQTT 5.0.
//
// It keeps no state and does no I/O. What a packet means for a session is up to
// the caller.
package mqtt

import (
	"encoding/binary"
	"fmt"
	"strings"
	"unicode/utf8"
)

// Control packet types (2.1.2).
const (
	CONNECT     = 1
	CONNACK     = 2
	PUBLISH     = 3
	PUBACK      = 4
	PUBREC      = 5
	PUBREL      = 6
	PUBCOMP     = 7
	SUBSCRIBE   = 8
	SUBACK      = 9
	UNSUBSCRIBE = 10
	UNSUBACK    = 11
	PINGREQ     = 12
	PINGRESP    = 13
	DISCONNECT  = 14
	AUTH        = 15
)

// Protocol versions, as the CONNECT packet encodes them.
const (
	V311 = 4
	V5   = 5
)

// Reason codes (2.4) that this program uses.
const (
	Success              = 0x00
	DisconnectWithWill   = 0x04
	NoSubscription       = 0x11
	Unspecified          = 0x80
	MalformedPacket      = 0x81
	ProtocolError        = 0x82
	ImplementationError  = 0x83
	UnsupportedVersion   = 0x84
	BadIdentifier        = 0x85
	BadUserOrPassword    = 0x86
	NotAuthorized        = 0x87
	ServerUnavailable    = 0x88
	ServerBusy           = 0x89
	BadAuthMethod        = 0x8C
	KeepAliveTimeout     = 0x8D
	SessionTakenOver     = 0x8E
	TopicFilterInvalid   = 0x8F
	TopicNameInvalid     = 0x90
	PacketIDInUse        = 0x91
	PacketIDNotFound     = 0x92
	ReceiveMaxExceeded   = 0x93
	TopicAliasInvalid    = 0x94
	PacketTooLarge       = 0x95
	QuotaExceeded        = 0x97
	AdministrativeAction = 0x98
	PayloadFormatInvalid = 0x99
	RetainNotSupported   = 0x9A
	SharedNotSupported   = 0x9E
	SubIDsNotSupported   = 0xA1
	WildcardNotSupported = 0xA2
	ServerShuttingDown   = 0x8B
)

// Error is a violation of the protocol or of a limit by the peer, with the reason
// code that the standard assigns to it.
type Error struct {
	Code byte
	Text string
}

func (e *Error) Error() string { return fmt.Sprintf("mqtt: %s (0x%02X)", e.Text, e.Code) }

func errorf(code byte, format string, args ...any) *Error {
	return &Error{code, fmt.Sprintf(format, args...)}
}

func malformed(format string, args ...any) *Error { return errorf(MalformedPacket, format, args...) }

// Frame splits the first packet off b and returns the first byte of its fixed
// header, its body, and the bytes after it. ok is false while more bytes are
// needed. A packet of more than max bytes, fixed header included, is an error as
// soon as its length is known.
func Frame(b []byte, max int) (first byte, body, rest []byte, ok bool, err *Error) {
	if len(b) < 2 {
		return 0, nil, b, false, nil
	}
	length, used, e := varint(b[1:])
	if e != nil {
		return 0, nil, b, false, e
	}
	if used == 0 {
		return 0, nil, b, false, nil
	}
	head := 1 + used
	if head+length > max {
		return 0, nil, b, false, errorf(PacketTooLarge, "packet of %d bytes, at most %d are taken", head+length, max)
	}
	if len(b) < head+length {
		return 0, nil, b, false, nil
	}
	return b[0], b[head : head+length], b[head+length:], true, nil
}

// varint decodes a variable byte integer. used is its length in bytes, or 0 if b
// ends before the integer does.
func varint(b []byte) (v, used int, err *Error) {
	for i := range min(len(b), 4) {
		v |= int(b[i]&0x7f) << (7 * i)
		if b[i] < 0x80 {
			if i > 0 && b[i] == 0 {
				return 0, 0, malformed("length is written longer than needed")
			}
			return v, i + 1, nil
		}
	}
	if len(b) >= 4 {
		return 0, 0, malformed("length of over four bytes")
	}
	return 0, 0, nil
}

// reader decodes the fields of a packet's body in order. The first error is kept
// and ends decoding.
type reader struct {
	b   []byte
	err *Error
}

func (r *reader) fail(e *Error) {
	if r.err == nil {
		r.err = e
	}
	r.b = nil
}

func (r *reader) take(n int, what string) []byte {
	if r.err != nil || len(r.b) < n {
		r.fail(malformed("packet ends within %s", what))
		return nil
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

func (r *reader) byte(what string) byte {
	if v := r.take(1, what); v != nil {
		return v[0]
	}
	return 0
}

func (r *reader) uint16(what string) uint16 {
	if v := r.take(2, what); v != nil {
		return binary.BigEndian.Uint16(v)
	}
	return 0
}

func (r *reader) uint32(what string) uint32 {
	if v := r.take(4, what); v != nil {
		return binary.BigEndian.Uint32(v)
	}
	return 0
}

func (r *reader) varint(what string) int {
	if r.err != nil {
		return 0
	}
	v, used, err := varint(r.b)
	if err == nil && used == 0 {
		err = malformed("packet ends within %s", what)
	}
	if err != nil {
		r.fail(err)
		return 0
	}
	r.b = r.b[used:]
	return v
}

func (r *reader) binary(what string) []byte { return r.take(int(r.uint16(what)), what) }

func (r *reader) string(what string) string {
	v := r.binary(what)
	if !utf8.Valid(v) || strings.IndexByte(string(v), 0) >= 0 {
		r.fail(malformed("%s is no UTF-8 string by 1.5.4", what))
	}
	return string(v)
}

// id reads a packet identifier; 0 is malformed.
func (r *reader) id() uint16 {
	v := r.uint16("packet identifier")
	if v == 0 && r.err == nil {
		r.fail(malformed("packet identifier 0"))
	}
	return v
}

// Property identifiers (2.2.2.2).
const (
	pPayloadFormat   = 0x01
	pMessageExpiry   = 0x02
	pContentType     = 0x03
	pResponseTopic   = 0x08
	pCorrelation     = 0x09
	pSubscriptionID  = 0x0B
	pSessionExpiry   = 0x11
	pAssignedID      = 0x12
	pServerKeepAlive = 0x13
	pAuthMethod      = 0x15
	pAuthData        = 0x16
	pRequestProblem  = 0x17
	pWillDelay       = 0x18
	pRequestResponse = 0x19
	pResponseInfo    = 0x1A
	pServerReference = 0x1C
	pReasonString    = 0x1F
	pReceiveMaximum  = 0x21
	pAliasMaximum    = 0x22
	pAlias           = 0x23
	pMaximumQoS      = 0x24
	pRetainAvailable = 0x25
	pUser            = 0x26
	pMaximumPacket   = 0x27
	pWildcard        = 0x28
	pSubIDs          = 0x29
	pShared          = 0x2A
)

// UserProperty is one User Property.
type UserProperty struct{ Name, Value string }

// Props holds the properties of a packet. Has tells a property that is absent from
// one that is present with the value zero.
type Props struct {
	set              uint64 // bit n: the property with identifier n is present
	PayloadFormat    byte
	MessageExpiry    uint32 // seconds
	ContentType      string
	ResponseTopic    string
	Correlation      []byte
	SubscriptionID   int
	SessionExpiry    uint32 // seconds
	AssignedID       string
	ServerKeepAlive  uint16 // seconds
	AuthMethod       string
	AuthData         []byte
	RequestProblem   byte
	WillDelay        uint32 // seconds
	RequestResponse  byte
	ResponseInfo     string
	ServerReference  string
	ReasonString     string
	ReceiveMaximum   uint16
	AliasMaximum     uint16
	Alias            uint16
	MaximumQoS       byte
	RetainAvailable  byte
	MaximumPacket    uint32
	Wildcard, SubIDs byte
	Shared           byte
	User             []UserProperty
}

// maxUserProps is the largest number of user properties in one packet.
const maxUserProps = 64

// allowedIn holds, for each property identifier, the packet types that may carry it:
// bit n stands for packet type n, bit 0 for the will of a CONNECT.
var allowedIn = map[int]uint16{
	pPayloadFormat: 1 | 1<<PUBLISH, pMessageExpiry: 1 | 1<<PUBLISH, pContentType: 1 | 1<<PUBLISH,
	pResponseTopic: 1 | 1<<PUBLISH, pCorrelation: 1 | 1<<PUBLISH, pSubscriptionID: 1<<PUBLISH | 1<<SUBSCRIBE,
	pSessionExpiry: 1<<CONNECT | 1<<CONNACK | 1<<DISCONNECT, pAssignedID: 1 << CONNACK,
	pServerKeepAlive: 1 << CONNACK, pAuthMethod: 1<<CONNECT | 1<<CONNACK | 1<<AUTH,
	pAuthData: 1<<CONNECT | 1<<CONNACK | 1<<AUTH, pRequestProblem: 1 << CONNECT, pWillDelay: 1,
	pRequestResponse: 1 << CONNECT, pResponseInfo: 1 << CONNACK,
	pServerReference: 1<<CONNACK | 1<<DISCONNECT,
	pReasonString: 1<<CONNACK | 1<<PUBACK | 1<<PUBREC | 1<<PUBREL | 1<<PUBCOMP | 1<<SUBACK | 1<<UNSUBACK |
		1<<DISCONNECT | 1<<AUTH,
	pReceiveMaximum: 1<<CONNECT | 1<<CONNACK, pAliasMaximum: 1<<CONNECT | 1<<CONNACK, pAlias: 1 << PUBLISH,
	pMaximumQoS: 1 << CONNACK, pRetainAvailable: 1 << CONNACK, pUser: 0xffff,
	pMaximumPacket: 1<<CONNECT | 1<<CONNACK, pWildcard: 1 << CONNACK, pSubIDs: 1 << CONNACK,
	pShared: 1 << CONNACK,
}

// Has reports whether the property with the identifier id is present.
func (p *Props) Has(id int) bool { return p.set&(1<<id) != 0 }

// HasSessionExpiry and the methods below report whether a property is present,
// which its zero value does not tell.
func (p *Props) HasSessionExpiry() bool  { return p.Has(pSessionExpiry) }
func (p *Props) HasMessageExpiry() bool  { return p.Has(pMessageExpiry) }
func (p *Props) HasCorrelation() bool    { return p.Has(pCorrelation) }
func (p *Props) HasResponseTopic() bool  { return p.Has(pResponseTopic) }
func (p *Props) HasReceiveMaximum() bool { return p.Has(pReceiveMaximum) }
func (p *Props) HasMaximumPacket() bool  { return p.Has(pMaximumPacket) }
func (p *Props) HasRequestProblem() bool { return p.Has(pRequestProblem) }
func (p *Props) HasAlias() bool          { return p.Has(pAlias) }
func (p *Props) HasAuth() bool           { return p.Has(pAuthMethod) }

// UserValue returns the value of the first user property called name, or "".
func (p *Props) UserValue(name string) string {
	for _, u := range p.User {
		if u.Name == name {
			return u.Value
		}
	}
	return ""
}

// props reads the property length and the properties of a packet of type kind; 0
// stands for the will of a CONNECT.
func (r *reader) props(kind int) (p Props) {
	n := r.varint("property length")
	in := reader{b: r.take(n, "properties")}
	if r.err != nil {
		return p
	}
	for len(in.b) > 0 {
		id := in.varint("property identifier")
		if in.err != nil {
			break
		}
		where, known := allowedIn[id]
		if !known || where&(1<<kind) == 0 {
			in.fail(malformed("property 0x%02X in packet type %d", id, kind))
			break
		}
		if id != pUser && p.Has(id) {
			in.fail(errorf(ProtocolError, "property 0x%02X stands twice", id))
			break
		}
		p.set |= 1 << id
		in.prop(id, &p)
	}
	if in.err != nil {
		r.fail(in.err)
	}
	return p
}

// flag reads a byte that must be 0 or 1.
func (r *reader) flag(what string) byte {
	v := r.byte(what)
	if v > 1 {
		r.fail(errorf(ProtocolError, "%s is %d, must be 0 or 1", what, v))
	}
	return v
}

// prop reads the value of the property id into p.
func (r *reader) prop(id int, p *Props) {
	nonzero := func(zero bool, what string) {
		if zero && r.err == nil {
			r.fail(errorf(ProtocolError, "%s is 0", what))
		}
	}
	switch id {
	case pPayloadFormat:
		p.PayloadFormat = r.flag("Payload Format Indicator")
	case pMessageExpiry:
		p.MessageExpiry = r.uint32("Message Expiry Interval")
	case pContentType:
		p.ContentType = r.string("Content Type")
	case pResponseTopic:
		p.ResponseTopic = r.string("Response Topic")
		if r.err == nil {
			if err := CheckTopic(p.ResponseTopic); err != nil {
				r.fail(errorf(ProtocolError, "Response Topic: %s", err.Text))
			}
		}
	case pCorrelation:
		p.Correlation = r.binary("Correlation Data")
	case pSubscriptionID:
		p.SubscriptionID = r.varint("Subscription Identifier")
		nonzero(p.SubscriptionID == 0, "Subscription Identifier")
	case pSessionExpiry:
		p.SessionExpiry = r.uint32("Session Expiry Interval")
	case pAssignedID:
		p.AssignedID = r.string("Assigned Client Identifier")
	case pServerKeepAlive:
		p.ServerKeepAlive = r.uint16("Server Keep Alive")
	case pAuthMethod:
		p.AuthMethod = r.string("Authentication Method")
	case pAuthData:
		p.AuthData = r.binary("Authentication Data")
	case pRequestProblem:
		p.RequestProblem = r.flag("Request Problem Information")
	case pWillDelay:
		p.WillDelay = r.uint32("Will Delay Interval")
	case pRequestResponse:
		p.RequestResponse = r.flag("Request Response Information")
	case pResponseInfo:
		p.ResponseInfo = r.string("Response Information")
	case pServerReference:
		p.ServerReference = r.string("Server Reference")
	case pReasonString:
		p.ReasonString = r.string("Reason String")
	case pReceiveMaximum:
		p.ReceiveMaximum = r.uint16("Receive Maximum")
		nonzero(p.ReceiveMaximum == 0, "Receive Maximum")
	case pAliasMaximum:
		p.AliasMaximum = r.uint16("Topic Alias Maximum")
	case pAlias:
		p.Alias = r.uint16("Topic Alias")
	case pMaximumQoS:
		p.MaximumQoS = r.flag("Maximum QoS")
	case pRetainAvailable:
		p.RetainAvailable = r.flag("Retain Available")
	case pUser:
		u := UserProperty{r.string("User Property"), r.string("User Property")}
		if p.User = append(p.User, u); len(p.User) > maxUserProps {
			r.fail(errorf(QuotaExceeded, "over %d user properties", maxUserProps))
		}
	case pMaximumPacket:
		p.MaximumPacket = r.uint32("Maximum Packet Size")
		nonzero(p.MaximumPacket == 0, "Maximum Packet Size")
	case pWildcard:
		p.Wildcard = r.flag("Wildcard Subscription Available")
	case pSubIDs:
		p.SubIDs = r.flag("Subscription Identifier Available")
	case pShared:
		p.Shared = r.flag("Shared Subscription Available")
	}
}

// CheckTopic returns an error if t is not a valid topic name (4.7), else nil.
func CheckTopic(t string) *Error {
	switch {
	case t == "":
		return errorf(TopicNameInvalid, "topic name is empty")
	case strings.ContainsAny(t, "+#"):
		return errorf(TopicNameInvalid, "topic name %.80q holds a wildcard", t)
	}
	return nil
}

// Will is the will message of a CONNECT (3.1.2.5): the server publishes it when the
// connection ends without a DISCONNECT, or with one of code DisconnectWithWill.
type Will struct {
	Topic   string
	Payload []byte
	QoS     byte
	Retain  bool
	Props   Props
}

// Connect is a CONNECT packet (3.1).
type Connect struct {
	Version    byte
	CleanStart bool   // Clean Session in 3.1.1
	KeepAlive  uint16 // seconds, 0 for none
	ClientID   string
	Will       *Will
	HasUser    bool
	User       string
	Password   []byte
	Props      Props
}

// ParseConnect decodes the body of a CONNECT packet. For an unsupported protocol
// or version the error's code is UnsupportedVersion. With an error the returned
// packet, unless nil, holds at least the version.
func ParseConnect(first byte, body []byte) (*Connect, *Error) {
	if first&0x0f != 0 {
		return nil, malformed("CONNECT with flags 0x%X", first&0x0f)
	}
	r := reader{b: body}
	name := r.string("protocol name")
	c := &Connect{Version: r.byte("protocol version")}
	if r.err != nil {
		return nil, r.err
	}
	if name != "MQTT" || c.Version != V311 && c.Version != V5 {
		return c, errorf(UnsupportedVersion, "protocol %.20q version %d; 3.1.1 and 5.0 are spoken", name, c.Version)
	}
	flags := r.byte("connect flags")
	c.KeepAlive = r.uint16("keep alive")
	if flags&1 != 0 {
		return c, malformed("reserved connect flag is set")
	}
	c.CleanStart = flags&2 != 0
	if c.Version == V5 {
		c.Props = r.props(CONNECT)
		if r.err == nil && c.Props.Has(pAuthData) && !c.Props.HasAuth() {
			return c, errorf(ProtocolError, "Authentication Data without a method")
		}
	}
	c.ClientID = r.string("client identifier")
	qos := flags >> 3 & 3
	switch {
	case flags&4 != 0:
		if qos == 3 {
			return c, malformed("will QoS 3")
		}
		c.Will = &Will{QoS: qos, Retain: flags&0x20 != 0}
		if c.Version == V5 {
			c.Will.Props = r.props(0)
		}
		c.Will.Topic = r.string("will topic")
		c.Will.Payload = r.binary("will payload")
	case qos != 0 || flags&0x20 != 0:
		return c, malformed("will flags without a will")
	}
	if c.HasUser = flags&0x80 != 0; c.HasUser {
		c.User = r.string("user name")
	}
	if flags&0x40 != 0 {
		if c.Version == V311 && !c.HasUser {
			return c, malformed("password without user name")
		}
		c.Password = r.binary("password")
	}
	if r.err != nil {
		return c, r.err
	}
	if len(r.b) > 0 {
		return c, malformed("%d bytes after the CONNECT", len(r.b))
	}
	return c, nil
}

// Publish is a PUBLISH packet (3.3).
type Publish struct {
	Dup, Retain bool
	QoS         byte
	Topic       string
	ID          uint16
	Props       Props
	Payload     []byte // shares memory with the decoded packet
}

// ParsePublish decodes the body of a PUBLISH packet. In 5.0 an empty topic is
// accepted; the caller resolves it by the connection's topic aliases.
func ParsePublish(version, first byte, body []byte) (Publish, *Error) {
	p := Publish{Dup: first&8 != 0, QoS: first >> 1 & 3, Retain: first&1 != 0}
	if p.QoS == 3 {
		return p, malformed("QoS 3")
	}
	if p.QoS == 0 && p.Dup {
		return p, malformed("DUP with QoS 0")
	}
	r := reader{b: body}
	p.Topic = r.string("topic name")
	if p.QoS > 0 {
		p.ID = r.id()
	}
	if version == V5 {
		p.Props = r.props(PUBLISH)
	}
	if r.err != nil {
		return p, r.err
	}
	if p.Topic != "" || version != V5 {
		if err := CheckTopic(p.Topic); err != nil {
			return p, err
		}
	}
	p.Payload = r.b
	if p.Props.PayloadFormat == 1 && !utf8.Valid(p.Payload) {
		return p, errorf(PayloadFormatInvalid, "payload is not UTF-8 as it says")
	}
	return p, nil
}

// Ack is a PUBACK, PUBREC, PUBREL or PUBCOMP (3.4 to 3.7).
type Ack struct {
	Kind  byte
	ID    uint16
	Code  byte
	Props Props
}

// ParseAck decodes the body of a PUBACK, PUBREC, PUBREL or PUBCOMP.
func ParseAck(version, first byte, body []byte) (Ack, *Error) {
	a := Ack{Kind: first >> 4}
	want := byte(0)
	if a.Kind == PUBREL {
		want = 2
	}
	if first&0x0f != want {
		return a, malformed("packet type %d with flags 0x%X", a.Kind, first&0x0f)
	}
	r := reader{b: body}
	a.ID = r.id()
	if version == V5 && len(r.b) > 0 {
		a.Code = r.byte("reason code")
		if len(r.b) > 0 {
			a.Props = r.props(int(a.Kind))
		}
	}
	if r.err == nil && len(r.b) > 0 {
		return a, malformed("%d bytes after the acknowledgement", len(r.b))
	}
	return a, r.err
}

// Filter is one topic filter of a SUBSCRIBE or UNSUBSCRIBE. QoS is 0 in the latter.
type Filter struct {
	Topic string
	QoS   byte
}

// Subscribe is a SUBSCRIBE or an UNSUBSCRIBE (3.8, 3.10).
type Subscribe struct {
	ID      uint16
	Filters []Filter
	Props   Props
}

// maxFilters is the largest number of topic filters in one packet.
const maxFilters = 128

// ParseSubscribe decodes the body of a SUBSCRIBE or an UNSUBSCRIBE; the type in
// first tells which.
func ParseSubscribe(version, first byte, body []byte) (*Subscribe, *Error) {
	kind := first >> 4
	if first&0x0f != 2 {
		return nil, malformed("packet type %d with flags 0x%X", kind, first&0x0f)
	}
	r := reader{b: body}
	s := &Subscribe{ID: r.id()}
	if version == V5 {
		s.Props = r.props(int(kind))
	}
	for r.err == nil && len(r.b) > 0 {
		f := Filter{Topic: r.string("topic filter")}
		if r.err == nil && f.Topic == "" {
			return s, malformed("topic filter is empty")
		}
		if kind == SUBSCRIBE {
			o := r.byte("subscription options")
			f.QoS = o & 3
			if f.QoS == 3 || version == V311 && o > 2 || o&0xC0 != 0 || o>>4&3 == 3 {
				return s, malformed("subscription options 0x%02X", o)
			}
			if o&4 != 0 && strings.HasPrefix(f.Topic, "$share/") {
				return s, errorf(ProtocolError, "No Local on a shared subscription")
			}
		}
		if s.Filters = append(s.Filters, f); len(s.Filters) > maxFilters {
			return s, errorf(QuotaExceeded, "over %d topic filters", maxFilters)
		}
	}
	if r.err != nil {
		return s, r.err
	}
	if len(s.Filters) == 0 {
		return s, errorf(ProtocolError, "no topic filter")
	}
	return s, nil
}

// Disconnect is a DISCONNECT packet (3.14).
type Disconnect struct {
	Code  byte
	Props Props
}

// ParseDisconnect decodes the body of a DISCONNECT packet. An empty body stands
// for code 0.
func ParseDisconnect(version, first byte, body []byte) (Disconnect, *Error) {
	var d Disconnect
	if first&0x0f != 0 || version == V311 && len(body) > 0 {
		return d, malformed("DISCONNECT with flags or content")
	}
	r := reader{b: body}
	if len(body) > 0 {
		d.Code = r.byte("reason code")
		if len(r.b) > 0 {
			d.Props = r.props(DISCONNECT)
		}
	}
	if r.err == nil && len(r.b) > 0 {
		return d, malformed("%d bytes after the DISCONNECT", len(r.b))
	}
	return d, r.err
}

// Connack is a CONNACK packet (3.2).
type Connack struct {
	SessionPresent bool
	Code           byte
	Props          Props
}

// ParseConnack decodes the body of a CONNACK packet.
func ParseConnack(version byte, body []byte) (Connack, *Error) {
	r := reader{b: body}
	a := Connack{SessionPresent: r.byte("acknowledge flags")&1 != 0, Code: r.byte("reason code")}
	if version == V5 {
		a.Props = r.props(CONNACK)
	}
	return a, r.err
}
