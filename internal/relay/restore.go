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

func openJournal(cfg *config.Config, o *obs.Relay, broken func(error)) (*journal.Journal, *journal.Contents, error) {
	return journal.Open(journal.Options{Dir: cfg.Journal.Dir, MaxBytes: cfg.Journal.Bytes,
		MaxQueued: cfg.Journal.Queue, NoSync: !cfg.Journal.Sync, OnFailure: func(err error) {
			o.ListError("journal", fmt.Errorf("nothing more is taken, nor answered: %w", err))
			if broken != nil {
				broken(err)
			}
		}})
}

func (r *Relay) closeJournal() {
	if r.log == nil {
		return
	}
	if err := r.log.Close(); err != nil {
		r.obs.Logf("%v", err)
	}
}

// restore goes on with what an earlier run left.
func (r *Relay) restore(k *journal.Contents, f *mqttfront.Front, push *webpush.Front, names front.Names) {
	began := time.Now()
	classes := map[string]recover.Class{}
	for _, c := range r.cfg.Classes {
		classes[c.Name] = recover.Class{Deadline: c.Deadline.D(), RecordAttempts: c.Effect != "safe"}
	}
	partners := map[string]bool{}
	for _, p := range r.cfg.Partners {
		partners[p.Name] = true
	}
	plan := recover.NewPlan(k, classes, partners, r.cfg.Limits.Identities.Keep.D(), r.cfg.Rules.Cold.D())
	sessions := map[string]map[string][]byte{mqttfront.Name: {}, webpush.Name: {}}
	for _, s := range k.Sessions {
		if of := sessions[s.Front]; of != nil {
			of[s.ID] = s.Value
		}
	}
	f.Restore(sessions[mqttfront.Name])
	if push != nil {
		push.Restore(sessions[webpush.Name])
	}
	owe := func(name string, o front.Owed) core.Reply {
		switch {
		case name == mqttfront.Name:
			return f.RestoreMessage(o)
		case name == webpush.Name && push != nil:
			return push.RestoreMessage(o)
		}
		return front.NoReply{}
	}
	var ended []core.Ended
	for _, e := range plan.Ends {
		a := ledger.Answer{Verdict: ledger.Verdict(e.Verdict), RetryAfter: time.Duration(e.After)}
		owe(e.Front, front.Owed{Identity: e.Identity, ReturnPath: e.Way, Answer: a, Handed: e.Handed})
		ended = append(ended, core.Ended{Identity: e.Identity, Answer: a, Age: e.Age, Evictable: !classes[e.Class].RecordAttempts})
	}
	for _, identity := range plan.ExpiredIdentities {
		r.log.Forget(identity)
	}
	for _, host := range plan.ExpiredHosts {
		r.log.RecordWait(journal.Wait{Host: host})
	}
	var messages []core.Restored
	for _, m := range plan.Messages {
		reply := owe(m.Front, front.Owed{Identity: m.Identity, ReturnPath: m.Way})
		if m.Verdict != 0 {
			a := ledger.Answer{Verdict: m.Verdict}
			r.log.RecordEnd(journal.End{Seq: m.Seq, Identity: m.Identity, Class: m.Class, Verdict: uint8(a.Verdict),
				At:    r.log.Stamp(),
				Front: m.Front, Way: m.Way})
			r.log.WhenWritten(func() { reply.Answer(a) })
			continue
		}
		zone := slices.IndexFunc(r.cfg.Zones, func(z config.Zone) bool { return z.Name == m.Zone })
		messages = append(messages, core.Restored{Message: core.Message{Source: m.Source, Identity: m.Identity, Class: names.Classes[m.Class],
			Partner: names.Partners[m.Partner], Key: m.Key, Left: m.Left, Head: m.Head, Body: m.Body, Front: m.Front, ReturnPath: m.Way, Reply: reply},
			Seq: m.Seq, Attempts: m.Attempts, MayHaveRun: m.MayHaveRun, Since: m.SentAgo, Zone: zone})
	}
	var waits []choice.RestoredHost
	for _, w := range plan.Waits {
		waits = append(waits, choice.RestoredHost{Host: w.Host, RetryAfter: w.Left, Failing: w.Failing})
	}
	if r.toll != nil && plan.BudgetLevels != nil {
		r.toll.Resume(plan.BudgetLevels, plan.LevelsAge)
	}
	r.core.Restore(messages, ended, waits, k.LastSeq)
	r.obs.Info(fmt.Sprintf("journal: %d messages, %d ended identities, %d sessions, %d waits restored in %v", len(messages),
		len(ended), len(k.Sessions), len(waits), time.Since(began).Round(time.Millisecond)))
}
