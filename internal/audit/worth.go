package audit

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"tealledge/internal/record"
)

// computeWorth computes the worth earned divided by the worth requested. A viewer requests each second of its watch
// time at its highest rung. It earns each second that its most recent stream plays, while the player holds the
// session, at the current rung, less the cost of missing rate and of rung changes. A session that was answered after
// the Aim of its class earns nothing. Viewers that misbehave on purpose are excluded.
func (j *judge) computeWorth() {
	type viewer struct {
		worth float64
		bad   bool
	}
	viewers := map[string]viewer{}
	requested, earned := 0.0, 0.0
	for _, e := range j.events {
		if e.Kind == record.ViewerArrived {
			viewers[e.Viewer] = viewer{e.Value, e.Text != ""}
			if e.Text == "" {
				requested += e.Value * e.Length * j.rungWorth(e.Top)
			}
		}
	}
	inTime := map[string]bool{} // by front and session
	for _, c := range j.calls {
		if len(c.replies) > 0 && c.replies[0].Text == "plays" {
			reply := c.replies[0]
			inTime[reply.Front+"/"+reply.Session] = time.Duration(reply.At-c.request.At) <= j.class(c.request.Class).Aim
		}
	}
	type stream struct {
		since int64
		rung  int
		v     viewer
	}
	playing := map[string]*stream{}
	sessionOf := map[string]string{} // by front and call
	newest := map[string]string{}    // most recent stream: by viewer, and by front and session
	byServer := map[uint32]map[string]*stream{}
	share := map[uint32]float64{}
	accrue := func(s *stream, server uint32, now int64) {
		rate, reported := share[server]
		if !reported {
			rate = 1
		}
		// A shortage of up to 2% of the rate costs nothing.
		delivered := max(0, 1-j.rules.StallCost*max(0, 0.98-rate))
		earned += s.v.worth * j.rungWorth(s.rung) * delivered * time.Duration(now-s.since).Seconds()
		s.since = now
	}
	stopStream := func(key string, server uint32, now int64) {
		if s := playing[key]; s != nil {
			accrue(s, server, now)
			delete(playing, key)
			delete(byServer[server], key)
		}
	}
	serverOf := map[string]uint32{}
	for _, e := range j.events {
		switch e.Kind {
		case record.ReplyReceived:
			if e.Text == "plays" {
				sessionOf[e.Front+"#"+e.Ref] = e.Front + "/" + e.Session
			}
		case record.PlayerConnLost, record.PlayerLeft: // the player no longer holds it, even if the server still sends
			if key := newest[sessionOf[e.Front+"#"+e.Ref]]; key != "" {
				stopStream(key, serverOf[key], e.At)
			}
		case record.StreamStarted:
			if previous := newest["viewer "+e.Viewer]; previous != "" {
				stopStream(previous, serverOf[previous], e.At)
			}
			newest["viewer "+e.Viewer], newest[e.Front+"/"+e.Session], serverOf[e.AttemptKey()] = e.AttemptKey(),
				e.AttemptKey(), e.Server
			if v, ok := viewers[e.Viewer]; ok && !v.bad && inTime[e.Front+"/"+e.Session] {
				s := &stream{e.At, e.Rung, v}
				playing[e.AttemptKey()] = s
				if byServer[e.Server] == nil {
					byServer[e.Server] = map[string]*stream{}
				}
				byServer[e.Server][e.AttemptKey()] = s
			}
		case record.RungSet:
			if s := playing[e.AttemptKey()]; s != nil {
				accrue(s, e.Server, e.At)
				s.rung = e.Rung
				earned -= s.v.worth * j.rules.ChangeCost
			}
		case record.StreamEnded:
			stopStream(e.AttemptKey(), e.Server, e.At)
		case record.RateShare:
			for _, s := range byServer[e.Server] {
				accrue(s, e.Server, e.At)
			}
			share[e.Server] = e.Value
		}
	}
	if requested > 0 {
		j.report.Worth = earned / requested
	}
}

// rungWorth returns the worth of rung n, or 0 if there is none.
func (j *judge) rungWorth(n int) float64 {
	if n < 0 || n >= len(j.rules.RungWorth) {
		return 0
	}
	return j.rules.RungWorth[n]
}

// summarizeFaults adds a summary of each fault to the report. Length is the fault's duration in seconds.
func (j *judge) summarizeFaults() {
	for _, e := range j.events {
		if e.Kind != record.FaultStarted {
			continue
		}
		summary := FaultSummary{Name: e.Text}
		from, to := e.At, e.At+int64(e.Length*float64(time.Second))
		var delays []time.Duration
		for _, c := range j.calls {
			if c.request.At < from || c.request.At >= to {
				continue
			}
			summary.Asks++
			if len(c.replies) == 0 {
				continue
			}
			delays = append(delays, time.Duration(c.replies[0].At-c.request.At))
			switch c.replies[0].Text {
			case "plays":
				summary.Plays++
			case "refused":
				summary.Refused++
			case "failed":
				summary.Failed++
			}
		}
		for _, v := range j.report.Violations {
			if v.Event.At >= from && v.Event.At < to {
				summary.Broken++
			}
		}
		summary.P99 = Quantile(delays, 0.99)
		j.report.Troubles = append(j.report.Troubles, summary)
	}
}

// Quantile returns a quantile of the durations, or 0 if there are none. It sorts the list.
func Quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(int(q*float64(len(list))), len(list)-1)]
}

// Table formats the report as text.
func (r *Report) Table() string {
	var b strings.Builder
	row := func(cells ...string) {
		for i, c := range cells {
			if i == 0 {
				b.WriteString(c + strings.Repeat(" ", max(1, 36-len([]rune(c)))))
			} else {
				b.WriteString(strings.Repeat(" ", max(1, 10-len([]rune(c)))) + c)
			}
		}
		b.WriteByte('\n')
	}
	n := strconv.Itoa
	ms := func(d time.Duration) string {
		return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64) + "ms"
	}
	row("rule", "checked", "broken")
	for _, rule := range RuleNames {
		row(rule, n(r.Checked[rule]), n(r.Count(rule)))
	}
	b.WriteByte('\n')
	row("trouble", "asks", "plays", "refused", "failed", "broken", "p99")
	for _, t := range r.Troubles {
		row(t.Name, n(t.Asks), n(t.Plays), n(t.Refused), n(t.Failed), n(t.Broken), ms(t.P99))
	}
	row("the whole day", n(r.Asks), n(r.Replies["plays"]), n(r.Replies["refused"]), n(r.Replies["failed"]),
		n(len(r.Violations)),
		ms(Quantile(r.Open, 0.99)))
	b.WriteByte('\n')
	row("set-ups, of them further attempts", n(r.Setups), n(r.Further))
	row("open to answer p50, p99, max", ms(Quantile(r.Open, 0.5)), ms(Quantile(r.Open, 0.99)), ms(Quantile(r.Open, 1)))
	if r.Worth == 0 { // no ViewerArrived events, as in a load run
		return b.String()
	}
	row("worth earned over worth asked", strconv.FormatFloat(r.Worth, 'f', 3, 64))
	return b.String()
}
