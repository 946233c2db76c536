package audit

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"tealledge/internal/record"
)

// worth works out the worth earned over the worth asked. Each second that a viewer wants is asked for at its highest
// rung and earned, on the newest of its streams and while its player has it, at the rung in force, less what was missing of the rate and what changes of rung cost. A try that
// was answered after its class's aim earns nothing. Viewers that misbehave on purpose are left out.
func (j *judge) worth() {
	type viewer struct {
		worth float64
		bad   bool
	}
	viewers := map[string]viewer{}
	asked, earned := 0.0, 0.0
	for _, e := range j.events {
		if e.Kind == record.ViewerArrived {
			viewers[e.Viewer] = viewer{e.Value, e.Text != ""}
			if e.Text == "" {
				asked += e.Value * e.Length * j.rung(e.Top)
			}
		}
	}
	inTime := map[string]bool{} // by front and session
	for _, c := range j.calls {
		if len(c.replies) > 0 && c.replies[0].Text == "plays" {
			r := c.replies[0]
			inTime[r.Front+"/"+r.Session] = time.Duration(r.At-c.ask.At) <= j.class(c.ask.Class).Aim
		}
	}
	type stream struct {
		since int64
		rung  int
		v     viewer
	}
	playing := map[string]*stream{}
	session := map[string]string{} // of a call, by front and call
	newest := map[string]string{}  // stream by viewer, and by front and session
	at := map[uint32]map[string]*stream{}
	share := map[uint32]float64{}
	settle := func(s *stream, server uint32, now int64) {
		sh, known := share[server]
		if !known {
			sh = 1
		}
		part := max(0, 1-j.rules.StallCost*max(0, 0.98-sh))
		earned += s.v.worth * j.rung(s.rung) * part * time.Duration(now-s.since).Seconds()
		s.since = now
	}
	stop := func(key string, server uint32, now int64) {
		if s := playing[key]; s != nil {
			settle(s, server, now)
			delete(playing, key)
			delete(at[server], key)
		}
	}
	servers := map[string]uint32{}
	for _, e := range j.events {
		switch e.Kind {
		case record.ReplyReceived:
			if e.Text == "plays" {
				session[e.Front+"#"+e.Ref] = e.Front + "/" + e.Session
			}
		case record.PlayerConnLost, record.PlayerLeft: // the player has given it up, whatever its server still sends
			if key := newest[session[e.Front+"#"+e.Ref]]; key != "" {
				stop(key, servers[key], e.At)
			}
		case record.StreamStarted:
			if old := newest["viewer "+e.Viewer]; old != "" {
				stop(old, servers[old], e.At)
			}
			newest["viewer "+e.Viewer], newest[e.Front+"/"+e.Session], servers[e.AttemptKey()] = e.AttemptKey(), e.AttemptKey(), e.Server
			if v, ok := viewers[e.Viewer]; ok && !v.bad && inTime[e.Front+"/"+e.Session] {
				s := &stream{e.At, e.Rung, v}
				playing[e.AttemptKey()] = s
				if at[e.Server] == nil {
					at[e.Server] = map[string]*stream{}
				}
				at[e.Server][e.AttemptKey()] = s
			}
		case record.RungSet:
			if s := playing[e.AttemptKey()]; s != nil {
				settle(s, e.Server, e.At)
				s.rung = e.Rung
				earned -= s.v.worth * j.rules.ChangeCost
			}
		case record.StreamEnded:
			stop(e.AttemptKey(), e.Server, e.At)
		case record.RateShare:
			for _, s := range at[e.Server] {
				settle(s, e.Server, e.At)
			}
			share[e.Server] = e.Value
		}
	}
	if asked > 0 {
		j.report.Worth = earned / asked
	}
}

func (j *judge) rung(n int) float64 {
	if n < 0 || n >= len(j.rules.RungWorth) {
		return 0
	}
	return j.rules.RungWorth[n]
}

// troubles gathers what happened while each trouble lasted. The record gives its seconds as Length.
func (j *judge) troubles() {
	for _, e := range j.events {
		if e.Kind != record.FaultStarted {
			continue
		}
		t := Trouble{Name: e.Text}
		from, to := e.At, e.At+int64(e.Length*float64(time.Second))
		var took []time.Duration
		for _, c := range j.calls {
			if c.ask.At < from || c.ask.At >= to {
				continue
			}
			t.Asks++
			if len(c.replies) == 0 {
				continue
			}
			took = append(took, time.Duration(c.replies[0].At-c.ask.At))
			switch c.replies[0].Text {
			case "plays":
				t.Plays++
			case "refused":
				t.Refused++
			case "failed":
				t.Failed++
			}
		}
		for _, v := range j.report.Violations {
			if v.Event.At >= from && v.Event.At < to {
				t.Broken++
			}
		}
		t.P99 = Quantile(took, 0.99)
		j.report.Troubles = append(j.report.Troubles, t)
	}
}

// Quantile gives a quantile of times, 0 for none. It sorts them.
func Quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(int(q*float64(len(list))), len(list)-1)]
}

// Table writes the report as text.
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
	row("the whole day", n(r.Asks), n(r.Replies["plays"]), n(r.Replies["refused"]), n(r.Replies["failed"]), n(len(r.Violations)),
		ms(Quantile(r.Open, 0.99)))
	b.WriteByte('\n')
	row("set-ups, of them further attempts", n(r.Setups), n(r.Further))
	row("open to answer p50, p99, max", ms(Quantile(r.Open, 0.5)), ms(Quantile(r.Open, 0.99)), ms(Quantile(r.Open, 1)))
	if r.Worth == 0 { // players that did not say what they want, as a load run's
		return b.String()
	}
	row("worth earned over worth asked", strconv.FormatFloat(r.Worth, 'f', 3, 64))
	return b.String()
}
