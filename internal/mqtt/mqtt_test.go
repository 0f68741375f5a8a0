package mqtt

import (
	"bytes"
	"testing"
)

// FuzzPackets feeds arbitrary bytes to the decoders, which must not panic or return
// a frame without a header, and checks that a decoded PUBLISH that is encoded again
// decodes to the same fields.
func FuzzPackets(f *testing.F) {
	f.Add(AppendConnect(nil, &Connect{Version: V5, ClientID: "c", KeepAlive: 5, HasUser: true, User: "u",
		Password: []byte("p"), Props: Props{SessionExpiry: 9, ReceiveMaximum: 3, User: []UserProperty{{"a", "b"}}}}))
	f.Add(AppendPublish(nil, V5, &Publish{QoS: 1, ID: 7, Topic: "send/a/b", Payload: []byte("x"),
		Props: Props{Correlation: []byte{1}, ResponseTopic: "r", MessageExpiry: 4, Alias: 2}}))
	f.Add(AppendPublish(nil, V311, &Publish{QoS: 2, ID: 7, Topic: "t", Dup: true}))
	f.Add(AppendSubscribe(nil, V5, 3, Filter{"a", 1}, Filter{"b/+", 2}))
	f.Add(AppendAck(nil, V5, PUBREC, 9, QuotaExceeded, "why"))
	f.Add(AppendDisconnect(nil, ServerBusy, "x"))
	f.Fuzz(func(t *testing.T, b []byte) {
		first, body, rest, ok, err := Frame(b, 1<<16)
		if err != nil || !ok {
			return
		}
		if len(body)+len(rest) >= len(b) {
			t.Fatal("Frame returned a packet without a fixed header")
		}
		for _, v := range []byte{V311, V5} {
			switch first >> 4 {
			case CONNECT:
				_, _ = ParseConnect(first, body)
			case PUBLISH:
				p, err := ParsePublish(v, first, body)
				if err != nil {
					continue
				}
				q := p
				again := AppendPublish(nil, v, &q)
				f2, b2, _, ok, e := Frame(again, 1<<20)
				if e != nil || !ok {
					t.Fatalf("Frame of the re-encoded PUBLISH: ok %v, error %v", ok, e)
				}
				r, err := ParsePublish(v, f2, b2)
				if err != nil || r.Topic != p.Topic || r.ID != p.ID || r.QoS != p.QoS ||
					!bytes.Equal(r.Payload, p.Payload) ||
					!bytes.Equal(r.Props.Correlation, p.Props.Correlation) || len(r.Props.User) != len(p.Props.User) {
					t.Fatalf("PUBLISH %+v decodes to %+v after re-encoding (error %v)", p, r, err)
				}
			case PUBACK, PUBREC, PUBREL, PUBCOMP:
				_, _ = ParseAck(v, first, body)
			case SUBSCRIBE, UNSUBSCRIBE:
				_, _ = ParseSubscribe(v, first, body)
			case DISCONNECT:
				_, _ = ParseDisconnect(v, first, body)
			case CONNACK:
				_, _ = ParseConnack(v, body)
			}
		}
	})
}
