package emulator

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a host that counts as having answered a relay that had closed the connection while the host worked.
func TestNoAnswerIsRecordedBehindTheEndOfItsConnection(t *testing.T) {
	p, err := New(1, "kind")
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	host := p.Hosts[0]
	for i := range 20 {
		for path, body := range map[string]string{"/hook/batch": `[{"id":"%s"}]`, "/hook": "%s"} {
			id := fmt.Sprintf("m%d%s", i, path)
			p.Record.histories[id] = &History{ID: id}
			connection := &faultyConn{network: &Network{}}
			ctx, closed := context.WithCancel(context.WithValue(context.Background(), connKey{}, connection))
			closed()
			request := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(fmt.Sprintf(body, id)))
			request.Header.Set("X-Txn", id)
			host.serve(httptest.NewRecorder(), request)
			calls := p.Record.histories[id].Calls
			if len(calls) != 1 || !calls[0].AnswerBegun.IsZero() || calls[0].Finished.IsZero() {
				t.Errorf("%s: %+v, want one call without an answer", id, calls)
			}
		}
	}
}
