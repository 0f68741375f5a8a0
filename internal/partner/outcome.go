package partner

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"basaltcross.example/basaltcross/choice"
)

// event is what happened on the socket of a call.
type event int

const (
	noConnection  event = iota // no connection could be established
	notTried                   // not tried for want of local resources, or ended before it was written
	closedUnsent               // closed before any byte of the request was written
	closedPartial              // closed before the whole request was written
	closedSent                 // closed or reset after the request was written (with TLS: after any part of it)
	malformed                  // bytes that are no HTTP response
	answeredEarly              // a complete response before the request was written
	answered                   // a complete response
)

// maxWait is the upper limit of a Retry-After; longer ones are cut to it. No message of any class
// lives longer.
const maxWait = 24 * time.Hour

// outcome maps what happened on a socket to the outcome for the decision module. Where that is
// uncertain, the outcome says that the message may have run.
//
//	event          status, kind                     outcome       reason
//	noConnection   -                                NoConnection  no byte can have reached the partner
//	notTried       -                                NotSent       says nothing about the partner
//	closedUnsent   -                                NoConnection  no byte of the request reached the kernel
//	closedPartial  -                                Reset         a partner may act on part of a request
//	closedSent     -                                Reset         the request was handed over; a reused connection
//	                                                              that the peer closed may still have read it
//	malformed      -                                Error         a server answered; whether it ran is unknown
//	answeredEarly  429, 503 as below                Refused       the guarantee for refusals covers it
//	answeredEarly  any other                        Error         success without the whole request is no proof
//	answered       2xx                              Served        the partner says so
//	answered       429, refusalNeverRan             Refused       it has not run; wait as announced, or 0
//	answered       503 with Retry-After, likewise   Refused       it has not run; without Retry-After the response
//	                                                              may come from a proxy
//	answered       429, 503 without refusalNeverRan Error         it may have run; an announced wait is passed on
//	answered       3xx, 4xx, 5xx otherwise          Error         answered, not served
//
// Time-outs and cancels are decided by the core: Timeout or Cancelled for a call that was written,
// else NoConnection or NotSent.
func outcome(ev event, status int, retryAfter string, refusalNeverRan bool, now time.Time) (
	choice.Outcome, time.Duration) {
	switch ev {
	case notTried:
		return choice.NotSent, 0
	case noConnection, closedUnsent:
		return choice.NoConnection, 0
	case closedSent, closedPartial:
		return choice.Reset, 0
	case malformed:
		return choice.Error, 0
	}
	wait, told := time.Duration(0), false
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		wait, told = retryWait(retryAfter, now)
		if refusalNeverRan && (told || status == http.StatusTooManyRequests) {
			return choice.Refused, wait
		}
	}
	if ev == answered && status >= 200 && status < 300 {
		return choice.Served, 0
	}
	return choice.Error, wait
}

// retryWait parses Retry-After (RFC 9110, 10.2.3), seconds or a date. A date is rounded up to the
// end of its second. Fractions of seconds are accepted: some partners send them although the RFC
// does not allow them.
func retryWait(v string, now time.Time) (time.Duration, bool) {
	if v == "" {
		return 0, false
	}
	if s, err := strconv.ParseFloat(v, 64); err == nil && s >= 0 && !math.IsInf(s, 0) {
		if s > maxWait.Seconds() {
			return maxWait, true
		}
		return time.Duration(math.Ceil(s * 1e9)), true
	}
	if at, err := http.ParseTime(v); err == nil {
		return min(max(0, at.Add(time.Second).Sub(now)), maxWait), true
	}
	return 0, false
}
