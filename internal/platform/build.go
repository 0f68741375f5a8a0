package platform

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"basaltcross.example/basaltcross/internal/agent"
	"basaltcross.example/basaltcross/internal/core"
	"basaltcross.example/basaltcross/internal/directory"
	"basaltcross.example/basaltcross/internal/hookfront"
	"basaltcross.example/basaltcross/internal/http1"
	"basaltcross.example/basaltcross/internal/journal"
	"basaltcross.example/basaltcross/internal/ledger"
	"basaltcross.example/basaltcross/internal/lifecycle"
	"basaltcross.example/basaltcross/internal/partner"
	"basaltcross.example/basaltcross/internal/stall"
)

// Start starts a node: it restores the state of an earlier run from the journal, then loads the
// host list, then serves clients. The node runs until Drain is called or the process is killed.
func Start(cfg *Config, log zerolog.Logger) (*Node, error) {
	began := time.Now()
	n := &Node{cfg: cfg, bounds: BoundsOf(cfg), log: log, listedDests: map[int]bool{}}
	n.stats = &observer{node: n}
	n.guard = &lifecycle.Guard{Strict: os.Getenv(strictVariable) != "", OnViolation: n.logViolation}
	var opened cleanup
	contents, err := n.build(&opened)
	if err != nil {
		opened.run()
		return nil, fmt.Errorf("platform: %w", err)
	}
	held, owed := n.restore(contents)
	n.run()
	log.Info().Str("name", cfg.Name).Str("listen", n.front.Addr()).Int("held", held).Int("owed", owed).
		Dur("took", time.Since(began)).Msg("up")
	return n, nil
}

// cleanup holds what has to be closed if a later step of a start fails.
type cleanup []func()

func (c *cleanup) add(f func()) { *c = append(*c, f) }

// run closes what was added, the latest first.
func (c *cleanup) run() {
	for i := len(*c) - 1; i >= 0; i-- {
		(*c)[i]()
	}
}

// build creates the node's parts, each after those that it uses, and returns what the journal holds.
func (n *Node) build(opened *cleanup) (*journal.Contents, error) {
	contents, err := n.openJournal()
	if err != nil {
		return nil, err
	}
	opened.add(func() { _ = n.journalLog.Close() })
	n.stalls = stall.Start()
	opened.add(n.stalls.Stop)
	if err := n.createCaller(); err != nil {
		return nil, err
	}
	opened.add(n.caller.Close)
	if err := n.createCore(); err != nil {
		return nil, err
	}
	if n.client, err = agent.New(n.cfg.Discovery); err != nil {
		return nil, err
	}
	opened.add(n.client.Close)
	n.notices = agent.NewNotices(n.client, n.bounds.Notices, n.noticeAnswered, func(err error) {
		n.warn("notices").Err(err).Msg("could not deliver notices; they will be sent again")
	})
	if err := n.createDirectory(); err != nil {
		return nil, err
	}
	opened.add(n.hostLists.close)
	return contents, n.createFront()
}

// logViolation logs a step that the node kept itself from, or an answer that was late.
func (n *Node) logViolation(v lifecycle.Violation) {
	if v.Rule == lifecycle.AnswerLate { // a stalled machine causes this as well
		n.warn("late").Str("rule", string(v.Rule)).Str("id", v.ID).Msg(v.State)
		return
	}
	n.log.Error().Str("cause", "violation").Str("rule", string(v.Rule)).Str("id", v.ID).Msg(v.State)
}

// openJournal opens the journal in the state folder and returns what it holds.
func (n *Node) openJournal() (contents *journal.Contents, err error) {
	var damaged error
	n.journalLog, contents, damaged, err = journal.OpenLog(journal.LogOptions{
		Dir:      n.cfg.State,
		MaxBytes: n.bounds.Disk,
		NeedsNotice: func(v uint8) bool {
			return ledger.Verdict(v) == ledger.Refused || ledger.Verdict(v) == ledger.Failed
		},
		OnWriteError: func(err error) {
			n.warn("journal").Err(err).Msg("journal write failed; no messages are accepted until it succeeds")
		},
		OnRecovered: func(waited time.Duration) {
			n.warn("journal").Dur("waited", waited).Msg("journal writes succeed again; all records are written")
		},
	})
	if err == nil && damaged != nil {
		n.warn("journal").Err(damaged).Msg("journal is damaged; continuing with the readable records")
	}
	return contents, err
}

// createCaller creates the caller of the hosts.
func (n *Node) createCaller() (err error) {
	s := &n.cfg.Settings
	n.caller, err = partner.New(partner.Options{
		Name:            n.cfg.Name,
		Hook:            &partner.Hook{Host: n.cfg.Name, Columns: s.Columns},
		Limits:          http1.Limits{Header: maxHeaderBytes, Body: maxBodyBytes},
		Pool:            n.bounds.Keep,
		DialTimeout:     s.DialTimeout,
		MaxSockets:      n.bounds.Hosts,
		PeerRefused:     n.logPeerRefusal,
		UnsolicitedWait: func(host string, dest int, wait time.Duration) { n.core.ReportWait(host, dest, wait) },
		Trace:           stepLogger(n.log),
		TrustPeers:      os.Getenv(trustVariable) != "",
	})
	return err
}

// createCore creates the core with the decision module.
func (n *Node) createCore() (err error) {
	set := n.cfg.Settings.Settings
	set.HoldUntilAcknowledged = true
	set.Workers = n.bounds.Calls
	set.ShedPenalty.Cost, set.ShedPenalty.Before = shedPenaltyCost, shedPenaltyBefore
	longestDeadline := time.Duration(0)
	for _, class := range set.Classes {
		longestDeadline = max(longestDeadline, class.Deadline)
	}
	n.core, err = core.New(core.Options{
		Settings:          set,
		Seed:              n.cfg.Seed,
		InboxSize:         n.bounds.Clients,
		InboxBytes:        n.bounds.Arrivals,
		Identities:        n.bounds.Identities,
		Retention:         longestDeadline,
		Caller:            n.caller,
		Observer:          n.stats,
		Journal:           n.journalLog,
		RecordAllAttempts: true,
		MaxCallBytes:      maxBodyBytes,
		SkipHostRecords:   true,
		LateMargin:        clientTimeout,
		Names:             core.Names{Partner: strconv.Itoa},
		Guard:             n.guard,
		Stalls:            n.stalls,
		Trace:             stepLogger(n.log),
		DeliveryRetracted: n.deliveryRetracted,
		DeliveryUnproven:  n.oweFailure,
	})
	return err
}

// noticeAnswered records that the platform has the final answer of a message.
func (n *Node) noticeAnswered(identity string) {
	n.journalLog.Handed(identity)
	n.core.Settled(identity)
}

// createDirectory creates the directory of hosts, which begins with the saved list or the configuration's, and the
// writer that saves later lists.
func (n *Node) createDirectory() error {
	warn := func(err error) { n.warn("discovery").Err(err).Msg("") }
	saved := newSavedList(n.cfg.State, n.bounds.List)
	known, err := saved.newest(n.cfg.Known)
	if transient(err) {
		return err
	}
	if err != nil {
		n.warn("discovery").Err(err).Msg("saved host list is unreadable; using the list from the configuration")
	}
	n.hostLists = newHostListWriter(saved, warn)
	watch := &agent.Watch{Client: n.client, Known: known, OnDestination: n.addDestination, OnList: n.hostLists.save}
	n.hostDirectory = directory.New(directory.Options{
		Names:       directory.Names{Host: n.host},
		Sources:     []directory.Source{watch},
		Sink:        directory.Sinks{n.core, n.caller},
		OnAddresses: n.setAddresses,
		OnListed:    func(int) {},
		OnError: func(source string, err error) {
			n.warn("discovery").Str("source", source).Err(err).Msg("")
		},
	})
	return nil
}

// createFront creates the front, which listens from then on.
func (n *Node) createFront() (err error) {
	s, b := &n.cfg.Settings, &n.bounds
	var ordered []bool
	for _, class := range s.Settings.Classes {
		ordered = append(ordered, class.Ordered)
	}
	n.front, err = hookfront.New(hookfront.Options{
		Listen:               n.cfg.Listen,
		Classes:              s.Lanes,
		Ordered:              ordered,
		KnownDestination:     n.isListed,
		Ready:                n.ready.Load,
		HeaderBytes:          maxHeaderBytes,
		BodyBytes:            maxBodyBytes,
		Connections:          b.Clients,
		LingeringConnections: b.Lingering,
		IdleConnections:      b.Kept,
		RequestPause:         2 * clientTimeout,
		RespondWithin:        responseTimeout,
		ClientTimeout:        clientTimeout,
		RequestTimeout:       requestReadTimeout,
		IdleTimeout:          idleTimeout,
		LingerTimeout:        lingerTimeout,
		WriteBuffer:          b.WriteBuffer,
		PartialBytes:         b.Partial,
		Core:                 n.core,
		Journal:              n.journalLog,
		Notices:              n.notices,
		Guard:                n.guard,
		Stalls:               n.stalls,
		Trace:                stepLogger(n.log),
		Logf:                 func(f string, v ...any) { n.warn("front").Msgf(f, v...) },
	})
	return err
}

// run starts the node's goroutines.
func (n *Node) run() {
	n.ctx, n.stop = context.WithCancel(context.Background())
	noticesCtx, stopNotices := context.WithCancel(context.Background())
	n.stopNotices = stopNotices
	n.done.Go(func() { n.core.Run(n.ctx, 0) })
	n.done.Go(func() { n.hostDirectory.Run(n.ctx) })
	n.noticesDone.Go(func() { n.notices.Run(noticesCtx) })
	n.done.Go(func() { n.stats.run(n.ctx) })
}
