package relay

import (
	"fmt"
	"slices"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/config"
	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/front"
	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/mqttfront"
	"basaltcross.example/basaltcross/internal/obs"
	"basaltcross.example/basaltcross/internal/recover"
	"basaltcross.example/basaltcross/internal/webpush"
)

// openJournal opens the configured journal. If the journal fails later, the failure is
// logged and onFailure is called with it, unless nil.
func openJournal(cfg *config.Config, o *obs.Relay, onFailure func(error)) (
	*journal.Journal, *journal.Contents, error) {
	return journal.Open(journal.Options{Dir: cfg.Journal.Dir, MaxBytes: cfg.Journal.Bytes,
		MaxQueued: cfg.Journal.Queue, NoSync: !cfg.Journal.Sync, OnFailure: func(err error) {
			o.ListError("journal", fmt.Errorf("journal failed, no further message is accepted or answered: %w", err))
			if onFailure != nil {
				onFailure(err)
			}
		}})
}

// closeJournal closes the journal, if there is one, and logs an error.
func (r *Relay) closeJournal() {
	if r.journal == nil {
		return
	}
	if err := r.journal.Close(); err != nil {
		r.obs.Logf("%v", err)
	}
}

// restore recovers the state that an earlier run left in the journal: client sessions,
// identities of ended messages with their answers, messages that were held, waits that
// hosts asked for, and the levels of the zone budget. It runs before the core does.
//
// Answers that a client did not acknowledge are handed to its front for delivery. A
// message whose verdict follows from the journal is recorded as ended and answered once
// that record is written; all others go back to the core.
func (r *Relay) restore(contents *journal.Contents, mqttFront *mqttfront.Front,
	push *webpush.Front, names front.Names) {
	start := time.Now()
	classes := map[string]recover.Class{}
	for _, c := range r.cfg.Classes {
		classes[c.Name] = recover.Class{Deadline: c.Deadline.D(), RecordAttempts: c.Effect != "safe"}
	}
	partners := map[string]bool{}
	for _, p := range r.cfg.Partners {
		partners[p.Name] = true
	}
	plan := recover.NewPlan(contents, classes, partners, r.cfg.Limits.Identities.Keep.D(), r.cfg.Rules.Cold.D())
	sessions := map[string]map[string][]byte{mqttfront.Name: {}, webpush.Name: {}}
	for _, s := range contents.Sessions {
		if frontSessions := sessions[s.Front]; frontSessions != nil {
			frontSessions[s.ID] = s.Value
		}
	}
	mqttFront.Restore(sessions[mqttfront.Name])
	if push != nil {
		push.Restore(sessions[webpush.Name])
	}
	restoreReply := func(name string, o front.Owed) core.Reply {
		switch {
		case name == mqttfront.Name:
			return mqttFront.RestoreMessage(o)
		case name == webpush.Name && push != nil:
			return push.RestoreMessage(o)
		}
		return front.NoReply{}
	}
	var ended []core.Ended
	for _, e := range plan.Ends {
		answer := ledger.Answer{Verdict: ledger.Verdict(e.Verdict), RetryAfter: time.Duration(e.After)}
		restoreReply(e.Front, front.Owed{Identity: e.Identity, ReturnPath: e.Way, Answer: answer, Handed: e.Handed})
		ended = append(ended, core.Ended{Identity: e.Identity, Answer: answer, Age: e.Age,
			Evictable: !classes[e.Class].RecordAttempts})
	}
	for _, identity := range plan.ExpiredIdentities {
		r.journal.Forget(identity)
	}
	for _, host := range plan.ExpiredHosts {
		r.journal.RecordWait(journal.Wait{Host: host})
	}
	var messages []core.Restored
	for _, m := range plan.Messages {
		reply := restoreReply(m.Front, front.Owed{Identity: m.Identity, ReturnPath: m.Way})
		if m.Verdict != 0 {
			answer := ledger.Answer{Verdict: m.Verdict}
			r.journal.RecordEnd(journal.End{Seq: m.Seq, Identity: m.Identity, Class: m.Class, Verdict: uint8(answer.Verdict),
				At:    r.journal.Stamp(),
				Front: m.Front, Way: m.Way})
			r.journal.WhenWritten(func() { reply.Answer(answer) })
			continue
		}
		zone := slices.IndexFunc(r.cfg.Zones, func(z config.Zone) bool { return z.Name == m.Zone })
		messages = append(messages, core.Restored{Message: core.Message{Source: m.Source, Identity: m.Identity,
			Class: names.Classes[m.Class], Partner: names.Partners[m.Partner], Key: m.Key, Left: m.Left, Head: m.Head,
			Body: m.Body, Front: m.Front, ReturnPath: m.Way, Reply: reply},
			Seq: m.Seq, Attempts: m.Attempts, MayHaveRun: m.MayHaveRun, Since: m.SentAgo, Zone: zone})
	}
	var waits []choice.RestoredHost
	for _, w := range plan.Waits {
		waits = append(waits, choice.RestoredHost{Host: w.Host, RetryAfter: w.Left, Failing: w.Failing})
	}
	if r.zoneBudget != nil && plan.BudgetLevels != nil {
		r.zoneBudget.Resume(plan.BudgetLevels, plan.LevelsAge)
	}
	r.core.Restore(messages, ended, waits, contents.LastSeq)
	r.obs.Info(fmt.Sprintf("journal: %d messages, %d ended identities, %d sessions, %d waits restored in %v",
		len(messages),
		len(ended), len(contents.Sessions), len(waits), time.Since(start).Round(time.Millisecond)))
}
