package partner

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"basaltcross.example/basaltcross/choice"
)

// seen is what happened on an attempt's socket.
type seen int

const (
	noConnection seen = iota // no connection, or none left to open one with
	unready                  // none tried, for want of descriptors, or called off before
	lostUnsent               // closed, and not one byte of the request was handed to the kernel
	lostPart                 // closed, and the kernel had not got all of the request
	lost                     // closed or reset under the request, or within the response
	nonsense                 // bytes that are no response
	early                    // a whole response before the request was written
	answered                 // a whole response
)

// longestWait bounds a Retry-After: a longer one is taken as this. No message
// of any class lives longer.
const longestWait = 24 * time.Hour

// outcome is the one table from what happened on a socket to what the decision
// module is told. It errs on the side of "may have run".
//
//	seen          status, kind                       outcome       reason
//	noConnection  -                                  NoConnection  no byte can have reached the partner
//	unready       -                                  NotSent       nothing was tried: no word on the partner
//	lostUnsent    -                                  NoConnection  the kernel got no byte of the request
//	lostPart      -                                  Reset         a partner may act on a part
//	lost          -                                  Reset         bytes were handed over; a kept connection that
//	                                                               the peer closed may still have read them
//	nonsense      -                                  Error         somebody answered; what ran is not known
//	early         429, 503 as below                  Refused       a promise made for all refusals covers it
//	early         any other                          Error         success without the whole request is not proof
//	answered      2xx                                Served        the partner says so
//	answered      429, kind promises                 Refused       it never ran; the wait is told, or 0
//	answered      503 with Retry-After, promises     Refused       the same; without one it may be a proxy's word
//	answered      429, 503 without the promise       Error         may have run; a wait told with it is passed on
//	answered      3xx, 4xx, 5xx otherwise            Error         answered, not served
//
// A time-out or cancel is the core's own: Timeout or Cancelled if the attempt
// had been handed to the kernel, else NoConnection or NotSent.
func outcome(s seen, status int, retryAfter string, promises bool, now time.Time) (choice.Outcome, time.Duration) {
	switch s {
	case unready:
		return choice.NotSent, 0
	case noConnection, lostUnsent:
		return choice.NoConnection, 0
	case lost, lostPart:
		return choice.Reset, 0
	case nonsense:
		return choice.Error, 0
	}
	wait, told := time.Duration(0), false
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		wait, told = retryWait(retryAfter, now)
		if promises && (told || status == http.StatusTooManyRequests) {
			return choice.Refused, wait
		}
	}
	if s == answered && status >= 200 && status < 300 {
		return choice.Served, 0
	}
	return choice.Error, wait
}

// retryWait reads Retry-After (RFC 9110, 10.2.3), seconds or a date. A date
// is rounded up to the end of its second; seconds may carry a fraction, which
// some partners send although the RFC has none.
func retryWait(v string, now time.Time) (time.Duration, bool) {
	if v == "" {
		return 0, false
	}
	if s, err := strconv.ParseFloat(v, 64); err == nil && s >= 0 && !math.IsInf(s, 0) {
		if s > longestWait.Seconds() {
			return longestWait, true
		}
		return time.Duration(math.Ceil(s * 1e9)), true
	}
	if at, err := http.ParseTime(v); err == nil {
		return min(max(0, at.Add(time.Second).Sub(now)), longestWait), true
	}
	return 0, false
}
