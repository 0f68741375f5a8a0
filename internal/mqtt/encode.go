package mqtt

import "encoding/binary"

// AppendVarint appends v as a variable byte integer (MQTT 5.0, 1.5.5).
func AppendVarint(b []byte, v int) []byte {
	for v >= 0x80 {
		b = append(b, byte(v)|0x80)
		v >>= 7
	}
	return append(b, byte(v))
}

// sizeVarint returns the encoded length of v as a variable byte integer, in bytes.
func sizeVarint(v int) int {
	n := 1
	for ; v >= 0x80; v >>= 7 {
		n++
	}
	return n
}

func appendString(b []byte, s string) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(len(s)))
	return append(b, s...)
}

func appendBytes(b, s []byte) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(len(s)))
	return append(b, s...)
}

// appendProps appends the properties that are set, without the length field that precedes them.
func appendProps(b []byte, p *Props) []byte {
	u8 := func(id, v byte, isSet bool) {
		if isSet {
			b = append(b, id, v)
		}
	}
	u16 := func(id byte, v uint16) {
		if v != 0 {
			b = binary.BigEndian.AppendUint16(append(b, id), v)
		}
	}
	u32 := func(id byte, v uint32) {
		if v != 0 {
			b = binary.BigEndian.AppendUint32(append(b, id), v)
		}
	}
	str := func(id byte, v string) {
		if v != "" {
			b = appendString(append(b, id), v)
		}
	}
	u8(pPayloadFormat, p.PayloadFormat, p.PayloadFormat != 0)
	u32(pMessageExpiry, p.MessageExpiry)
	str(pContentType, p.ContentType)
	str(pResponseTopic, p.ResponseTopic)
	if p.Correlation != nil {
		b = appendBytes(append(b, pCorrelation), p.Correlation)
	}
	u32(pSessionExpiry, p.SessionExpiry)
	str(pAssignedID, p.AssignedID)
	u16(pServerKeepAlive, p.ServerKeepAlive)
	str(pAuthMethod, p.AuthMethod)
	u32(pWillDelay, p.WillDelay)
	u8(pRequestResponse, p.RequestResponse, p.RequestResponse != 0)
	str(pResponseInfo, p.ResponseInfo)
	str(pReasonString, p.ReasonString)
	u16(pReceiveMaximum, p.ReceiveMaximum)
	u16(pAliasMaximum, p.AliasMaximum)
	u16(pAlias, p.Alias)
	u8(pRetainAvailable, p.RetainAvailable, p.Has(pRetainAvailable))
	u32(pMaximumPacket, p.MaximumPacket)
	u8(pWildcard, p.Wildcard, p.Has(pWildcard))
	u8(pSubIDs, p.SubIDs, p.Has(pSubIDs))
	u8(pShared, p.Shared, p.Has(pShared))
	for _, u := range p.User {
		b = appendString(appendString(append(b, pUser), u.Name), u.Value)
	}
	return b
}

// UnsupportedFeatures returns the CONNACK properties that declare retained messages, wildcard
// and shared subscriptions and subscription identifiers as unavailable.
func UnsupportedFeatures() Props {
	return Props{set: 1<<pRetainAvailable | 1<<pWildcard | 1<<pSubIDs | 1<<pShared}
}

// appendPacket appends a fixed header, with first as its first byte, and the body.
func appendPacket(b []byte, first byte, body []byte) []byte {
	return append(AppendVarint(append(b, first), len(body)), body...)
}

// AppendConnack appends a CONNACK. The values of code are those of the given
// protocol version: a reason code in 5.0, a return code in 3.1.1.
func AppendConnack(b []byte, version byte, present bool, code byte, p *Props) []byte {
	body := []byte{0, code}
	if present {
		body[0] = 1
	}
	if version == V5 {
		props := appendProps(nil, p)
		body = append(AppendVarint(body, len(props)), props...)
	}
	return appendPacket(b, CONNACK<<4, body)
}

// AppendConnect appends a CONNECT. It does not write a will.
func AppendConnect(b []byte, c *Connect) []byte {
	flags := byte(0)
	if c.CleanStart {
		flags |= 2
	}
	if c.HasUser {
		flags |= 0x80
	}
	if c.Password != nil {
		flags |= 0x40
	}
	body := appendString(nil, "MQTT")
	body = append(body, c.Version, flags)
	body = binary.BigEndian.AppendUint16(body, c.KeepAlive)
	if c.Version == V5 {
		props := appendProps(nil, &c.Props)
		body = append(AppendVarint(body, len(props)), props...)
	}
	body = appendString(body, c.ClientID)
	if c.HasUser {
		body = appendString(body, c.User)
	}
	if c.Password != nil {
		body = appendBytes(body, c.Password)
	}
	return appendPacket(b, CONNECT<<4, body)
}

// AppendPublish appends a PUBLISH.
func AppendPublish(b []byte, version byte, p *Publish) []byte {
	first := byte(PUBLISH<<4) | p.QoS<<1
	if p.Dup {
		first |= 8
	}
	if p.Retain {
		first |= 1
	}
	size := 2 + len(p.Topic) + len(p.Payload)
	if p.QoS > 0 {
		size += 2
	}
	var room [256]byte
	props := room[:0]
	if version == V5 {
		props = appendProps(props, &p.Props)
		size += sizeVarint(len(props)) + len(props)
	}
	b = appendString(AppendVarint(append(b, first), size), p.Topic)
	if p.QoS > 0 {
		b = binary.BigEndian.AppendUint16(b, p.ID)
	}
	if version == V5 {
		b = append(AppendVarint(b, len(props)), props...)
	}
	return append(b, p.Payload...)
}

// AppendAck appends a PUBACK, PUBREC, PUBREL or PUBCOMP. An empty reason string
// is omitted.
func AppendAck(b []byte, version, kind byte, id uint16, code byte, reason string) []byte {
	first := kind << 4
	if kind == PUBREL {
		first |= 2
	}
	body := binary.BigEndian.AppendUint16(nil, id)
	if version == V5 && (code != Success || reason != "") {
		body = append(body, code)
		if reason != "" {
			props := appendProps(nil, &Props{ReasonString: reason})
			body = append(AppendVarint(body, len(props)), props...)
		}
	}
	return appendPacket(b, first, body)
}

// AppendSubscribe appends a SUBSCRIBE without properties.
func AppendSubscribe(b []byte, version byte, id uint16, filters ...Filter) []byte {
	body := binary.BigEndian.AppendUint16(nil, id)
	if version == V5 {
		body = append(body, 0)
	}
	for _, f := range filters {
		body = append(appendString(body, f.Topic), f.QoS)
	}
	return appendPacket(b, SUBSCRIBE<<4|2, body)
}

// AppendSuback appends a SUBACK or an UNSUBACK without properties. An UNSUBACK
// of 3.1.1 carries no codes.
func AppendSuback(b []byte, version, kind byte, id uint16, codes []byte) []byte {
	body := binary.BigEndian.AppendUint16(nil, id)
	if version == V5 {
		body = append(body, 0)
	}
	if version == V5 || kind == SUBACK {
		body = append(body, codes...)
	}
	return appendPacket(b, kind<<4, body)
}

// AppendDisconnect appends a DISCONNECT of MQTT 5.0; servers of 3.1.1 send none.
func AppendDisconnect(b []byte, code byte, reason string) []byte {
	body := []byte{code}
	if reason != "" {
		props := appendProps(nil, &Props{ReasonString: reason})
		body = append(AppendVarint(body, len(props)), props...)
	}
	return appendPacket(b, DISCONNECT<<4, body)
}

// AppendEmpty appends a PINGREQ or PINGRESP.
func AppendEmpty(b []byte, kind byte) []byte { return append(b, kind<<4, 0) }
