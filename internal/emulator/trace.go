package emulator

import (
	"encoding/json"
	"io"
	"time"

	"basaltcross.example/basaltcross/internal/trace"
)

// WriteTrace writes the record as steps in the format that package trace reads.
func (r *Record) WriteTrace(w io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, mono := time.Now(), trace.Now()
	out := json.NewEncoder(w)
	var failed error
	for _, c := range r.histories {
		step := func(name string, at time.Time, values map[string]any) {
			if at.IsZero() || failed != nil {
				return
			}
			values["cause"], values["id"], values["step"] = trace.Cause, c.ID, name
			values["mono_us"] = mono - now.Sub(at).Microseconds()
			failed = out.Encode(values)
		}
		step("sent", c.Sent, map[string]any{"node": c.Node, "lane": c.Class.Name,
			"key": c.Key, "due_ms": c.Deadline.Sub(c.Sent).Milliseconds()})
		step("replied", c.Reply.At, map[string]any{"status": c.Reply.Status,
			"complete": c.Reply.Complete, "end": c.Reply.End})
		for i, x := range c.Calls {
			step("called", x.At, map[string]any{"attempt": i, "host": x.Host})
			step("answered", x.AnswerWritten, map[string]any{"attempt": i, "host": x.Host,
				"status": x.Status, "ran": x.Ran, "wait_ms": x.RetryAfter.Milliseconds()})
			step("over", x.Finished, map[string]any{"attempt": i, "host": x.Host})
		}
		for _, n := range c.Notices {
			step("notice", n.At, map[string]any{"result": n.Result})
		}
	}
	return failed
}
