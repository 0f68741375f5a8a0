package core

import (
	"strconv"
	"time"

	"basaltcross.example/basaltcross/choice"
	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/lifecycle"
)

// handleArrival processes a hand-in that was made at a time: it rejects it, joins it to a message with
// the same identity, or takes it as a new message.
func (c *Core) handleArrival(in *Message, at time.Duration) {
	class := &c.opt.Settings.Classes[in.Class]
	switch {
	case class.Effect == choice.Unsafe && in.Identity == "":
		in.Reply.Taken(ErrNoIdentity)
		return
	case c.draining:
		in.Reply.Taken(ErrStopping)
		return
	case in.Identity != "" && c.joinKnown(in):
		return
	case c.opt.Journal != nil && in.Identity != "" && !c.opt.Journal.HasRoom(len(in.Head)+len(in.Body)):
		in.Reply.Taken(ErrJournalFull)
		return
	}
	m, err := c.newMessage(in, at)
	if err != nil {
		in.Reply.Taken(err)
		return
	}
	c.take(m)
}

// joinKnown joins a hand-in to a message with the same identity, or rejects it as the hand-in asks. It returns
// false if the identity is not known.
func (c *Core) joinKnown(in *Message) bool {
	e := c.identityLedger.Find(c.now, in.Identity)
	if e == nil {
		return false
	}
	if in.RejectKnown {
		in.Reply.Taken(ErrDuplicate)
		return true
	}
	if e.Answer.Verdict == 0 && c.byEntry[e] != nil {
		c.byEntry[e].Reply = in.Reply
	}
	a := e.Answer // of an ended message; otherwise it follows
	if a.Verdict != 0 {
		c.recordOwedAgain(in, e)
	}
	reply := in.Reply // the rest of the hand-in is not kept
	c.whenDurable(true, func() {
		reply.Taken(nil)
		if a.Verdict != 0 {
			reply.Answer(a)
		}
	}, seqOf(e.ID))
	return true
}

// recordOwedAgain records that the answer of a message that has ended is owed to a later hand-in of it, whether or not
// an earlier one was answered: a later run sends it there.
func (c *Core) recordOwedAgain(in *Message, e *ledger.Entry) {
	if c.opt.Journal == nil {
		return
	}
	c.opt.Journal.RecordEnd(journal.End{Seq: seqOf(e.ID), Identity: in.Identity,
		Class: c.opt.Settings.Classes[in.Class].Name, Verdict: uint8(e.Answer.Verdict),
		After: int64(e.Answer.RetryAfter), At: c.opt.Journal.Stamp(), Front: in.Front, Way: in.ReturnPath})
}

// newMessage returns the message of a hand-in with a number of its own, and opens its identity in the ledger.
func (c *Core) newMessage(in *Message, at time.Duration) (*message, error) {
	class := &c.opt.Settings.Classes[in.Class]
	c.lastSeq++
	m := &message{Message: *in, takenAt: c.now, deadline: at + min(in.Left, class.Deadline), seq: c.lastSeq,
		id: strconv.FormatUint(c.lastSeq, 36), journaled: c.opt.Journal != nil && in.Identity != ""}
	if in.Identity != "" {
		e, err := c.identityLedger.Open(c.now, in.Identity, m.id, class.Effect == choice.Safe)
		if err != nil {
			return nil, err
		}
		m.entry, c.byEntry[e] = e, m
	}
	m.state = lifecycle.Message{ID: m.Identity, Repeat: repeatPolicies[class.Effect], Window: class.Window,
		Deadline: m.deadline, Durable: m.journaled}
	if in.RespondWithin > 0 {
		m.state.RespondBy = at + in.RespondWithin
	}
	return m, nil
}

// take takes a new message: it is recorded and passed to the module.
func (c *Core) take(m *message) {
	c.byID[m.id] = m
	c.unanswered++
	if m.journaled {
		c.opt.Journal.RecordMessage(journal.Message{Seq: m.seq, Identity: m.Identity, Source: m.Source,
			Class: c.opt.Settings.Classes[m.Class].Name, Partner: c.opt.Names.Partner(m.Partner), Key: m.Key,
			At: c.opt.Journal.Stamp(), Remaining: int64(m.deadline - c.now), Head: m.Head, Body: m.Body,
			Front: m.Front, Way: m.ReturnPath})
	}
	reply := m.Reply
	c.whenDurable(m.journaled, func() { reply.Taken(nil) }, m.seq)
	c.opt.Trace.Step(m.Identity, "taken", m.id)
	c.opt.Observer.Taken(m.Class)
	c.batch = append(c.batch, choice.Arrival{ID: m.id, Class: m.Class, Dest: m.Partner,
		TimeLeft: m.deadline - c.now, Key: m.Key})
	if _, ok := reply.(Decider); ok {
		c.newlyTaken = append(c.newlyTaken, m)
	}
	if m.Immediate {
		c.immediate = append(c.immediate, m.id)
	}
}

// withdraw cancels the message of an identity that is in progress. With by nil its final answer is
// still due; otherwise the message is abandoned, provided that by is its current Reply.
func (c *Core) withdraw(identity string, by Reply) {
	e := c.identityLedger.Find(c.now, identity)
	if e == nil || e.Answer.Verdict != 0 {
		return
	}
	m := c.byEntry[e]
	if by != nil && m.Reply != by {
		return
	}
	c.batch = append(c.batch, choice.Withdrawn{ID: m.id, AnswerOwed: by == nil})
	if by != nil {
		c.answer(m, ledger.Answer{Verdict: ledger.Abandoned})
		c.recallAlone(m)
	}
}

// recallAlone ends the call of a message that has ended, if it carries no other message and none of it is written.
func (c *Core) recallAlone(m *message) {
	a := m.current
	if a == nil || a.leader != nil || len(a.followers) > 0 || !a.handle.Recall() {
		return
	}
	c.endCall(a, Ending{Outcome: choice.NotSent, Took: c.now - a.sentAt})
}
